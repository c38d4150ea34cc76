"""The adapter to the operators' platform: its store, headers and settings file."""
