"""Steers requests of callers to backend servers across regions."""
