"""The demo that `bin/demo` runs."""
