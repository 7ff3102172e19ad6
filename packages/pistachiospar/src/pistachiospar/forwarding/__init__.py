"""Forwarding: sends a caller's request to an instance of an upstream."""
