"""Models without I/O and without a clock: time and chance come in as arguments."""
