"""The entry process, which routes requests from callers to sidecars."""
