"""The daemon beside each endpoint, which alone decides what the endpoint runs."""
