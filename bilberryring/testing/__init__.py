"""Fleets of real processes and callers, for scenarios and the demo."""
