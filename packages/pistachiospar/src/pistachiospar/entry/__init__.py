"""The entry process, between callers and sidecars."""
