"""The adapter between the balancer and the simulator's protocol on standard input and output."""
