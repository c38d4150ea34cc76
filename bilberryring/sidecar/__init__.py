"""The daemon beside each endpoint, the one authority over it."""
