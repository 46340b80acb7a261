"""The load and experiment tool: cases, baselines, reports."""
