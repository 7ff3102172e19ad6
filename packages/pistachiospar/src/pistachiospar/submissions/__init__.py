"""Submissions: many samples asked for at once, run later, listed in order."""
