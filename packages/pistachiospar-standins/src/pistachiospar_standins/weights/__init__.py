"""The rate-limited weight store."""
