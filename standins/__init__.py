"""Stand-ins for the users' systems, for tests and the demo only."""
