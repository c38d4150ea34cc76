"""The operators' tool; queries and commands stand apart."""
