"""The adapter between the decision module and the simulator's wire on standard input and output."""
