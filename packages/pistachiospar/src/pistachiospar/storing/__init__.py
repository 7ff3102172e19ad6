"""Storing: the way to the key-value service, through a peer if need be."""
