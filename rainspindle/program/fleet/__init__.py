"""What the operator's own fleet file switches on: members, wallets, canaries."""
