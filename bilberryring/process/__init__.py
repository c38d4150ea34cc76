"""What both daemons share: settings, configuration, listeners."""
