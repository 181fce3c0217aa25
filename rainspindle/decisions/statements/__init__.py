"""What a statement is: its traffic type, its key, and what it leaves behind in its session."""
