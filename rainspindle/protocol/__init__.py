"""What the bytes mean: each message decoded once into a small typed value, and encoded once. No I/O."""
