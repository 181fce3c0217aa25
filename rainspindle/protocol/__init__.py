"""Message formats: each message is decoded once into a small typed value and encoded once. No I/O."""
