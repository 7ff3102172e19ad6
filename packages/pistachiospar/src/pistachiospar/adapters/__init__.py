"""Implementations of the ports over HTTP and TCP."""
