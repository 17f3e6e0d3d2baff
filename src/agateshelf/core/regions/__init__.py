"""Home regions: where requests of a route or workspace may be served."""
