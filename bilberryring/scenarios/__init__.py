"""Scenarios with real processes, in Gherkin."""
