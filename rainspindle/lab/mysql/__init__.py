"""Simulated database that speaks the MySQL wire protocol, and a trial that runs against it."""
