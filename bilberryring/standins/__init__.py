"""Simulated versions of the external services, for tests and the demo."""
