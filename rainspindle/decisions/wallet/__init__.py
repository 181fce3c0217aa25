"""Prepaid wallets: the units that a tenant has paid for and may still spend."""
