"""Helpers shared by all packages of pistachiospar."""
