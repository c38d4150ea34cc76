"""Fleets of real processes, and clients that call them, for tests and the demo."""
