"""Fronts: coroutines that speak with clients, a package a protocol, and the backs that speak it on."""
