"""Adapters: the ports over h11, pynng and the disk."""
