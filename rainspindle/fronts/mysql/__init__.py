"""Serves clients over the MySQL wire protocol and forwards their statements to database servers."""
