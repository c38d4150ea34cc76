"""Stand-ins for the cases: a store, servers and clients, by the users' pages."""
