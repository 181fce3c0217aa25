"""Classifies SQL statements: traffic class, routing key and effects on the session's state."""
