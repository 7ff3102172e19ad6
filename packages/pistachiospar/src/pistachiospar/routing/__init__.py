"""Routing: which route a request takes, as the operator configured it."""
