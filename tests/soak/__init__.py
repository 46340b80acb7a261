"""Randomized soak of steering hosts as processes under injected faults."""
