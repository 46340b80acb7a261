"""Simulation tool with experiment cases, baselines and reports."""
