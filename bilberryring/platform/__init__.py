"""The operators' platform: everything that only translates to and from it."""
