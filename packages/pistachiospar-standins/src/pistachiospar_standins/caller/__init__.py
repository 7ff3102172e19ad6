"""Callers: lookups, records and completions with checked responses."""
