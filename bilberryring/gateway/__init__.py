"""A gateway that forwards callers' requests directly to the endpoints."""
