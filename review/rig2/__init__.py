"""Stand-ins and clients of the second review."""
