"""Code shared by the daemons: settings, configuration, listeners and signals."""
