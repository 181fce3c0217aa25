"""MySQL wire protocol without I/O: packet framing, authentication, commands and responses."""
