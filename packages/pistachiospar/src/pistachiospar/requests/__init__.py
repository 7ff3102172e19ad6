"""Callers' requests: where they go, what is retried, what is said."""
