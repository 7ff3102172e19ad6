"""Organisations: their keys, names and priorities."""
