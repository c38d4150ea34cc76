"""The daemon that runs on the entry VMs and answers callers."""
