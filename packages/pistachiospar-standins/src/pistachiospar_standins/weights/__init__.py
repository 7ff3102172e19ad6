"""The weight store, with a rate limit."""
