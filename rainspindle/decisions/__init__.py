"""Decisions beside the module's, a package a matter: no I/O, no clock, no chance of their own."""
