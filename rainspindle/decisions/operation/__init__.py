"""Operator control of a sidecar: persistent orders, lifecycle stages and state passed between processes."""
