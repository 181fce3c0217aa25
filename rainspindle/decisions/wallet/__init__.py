"""Prepaid wallets: what tenants may still have done."""
