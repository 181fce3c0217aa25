"""The core that owns exchanges, the facade round the decision module, and what follows the list."""
