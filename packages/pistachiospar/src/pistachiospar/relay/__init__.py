"""Weights relayed between sidecars: the store is read once for each zone."""
