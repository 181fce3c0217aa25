"""The MySQL wire protocol towards clients, and towards database servers."""
