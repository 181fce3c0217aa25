"""Which site an exchange goes to, and how much of another's work a site takes in."""
