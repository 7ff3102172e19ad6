"""Batch submissions: store them, run their items, commit results in order."""
