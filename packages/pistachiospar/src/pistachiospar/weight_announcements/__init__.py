"""Announcements of new weights, shared by all entries."""
