"""The MySQL wire protocol, without I/O: packets, the greeting, commands, answers."""
