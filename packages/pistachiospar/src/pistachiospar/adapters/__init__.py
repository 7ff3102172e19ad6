"""Adapters: the ports over h11, TCP and the disk."""
