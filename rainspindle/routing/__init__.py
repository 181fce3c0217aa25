"""Request handling: the core, the facade of the decision module, and the followers of the endpoint list."""
