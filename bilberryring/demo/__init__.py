"""A demo on a small fleet of real processes, run by `bin/demo`."""
