"""HTTP/1.1, towards the application and towards the endpoints."""
