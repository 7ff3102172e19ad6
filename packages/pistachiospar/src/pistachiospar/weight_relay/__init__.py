"""Relay of weights between sidecars; one of each zone reads the store."""
