"""Forwarding: one caller's request to one of an upstream's instances."""
