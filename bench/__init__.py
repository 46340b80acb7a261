"""Benchmarks that can be repeated on any machine."""
