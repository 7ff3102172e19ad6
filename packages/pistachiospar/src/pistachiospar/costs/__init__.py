"""Estimates of what calls cost."""
