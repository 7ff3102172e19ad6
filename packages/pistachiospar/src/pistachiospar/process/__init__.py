"""Sockets, signals and constants that the processes share."""
