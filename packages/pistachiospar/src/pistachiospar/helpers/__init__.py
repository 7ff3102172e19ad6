"""Helpers shared by all parts of pistachiospar."""
