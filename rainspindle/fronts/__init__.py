"""Protocol handlers, one package each: fronts serve clients, and backs forward requests to endpoints."""
