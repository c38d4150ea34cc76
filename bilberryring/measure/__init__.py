"""Measurements of the pure decisions and of the running processes."""
