"""Callers: lookups, records and completions, with a check of each answer."""
