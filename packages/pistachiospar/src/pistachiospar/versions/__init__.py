"""Versions: which weights each instance of a pool shall load, and when."""
