"""The daemon on the entry VMs, which answers callers."""
