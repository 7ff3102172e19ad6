"""Limits that upstream instances name in their responses."""
