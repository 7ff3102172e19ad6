"""Entries towards each other, over h11."""
