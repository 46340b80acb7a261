"""Measurements that anyone can run again."""
