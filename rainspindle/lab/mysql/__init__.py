"""A stand-in database that speaks the MySQL wire protocol, and what is played against it."""
