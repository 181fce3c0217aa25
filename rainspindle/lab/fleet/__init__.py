"""Several real processes with faults between them, and the same faults in virtual time."""
