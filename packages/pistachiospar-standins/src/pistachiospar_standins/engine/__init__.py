"""A model engine: completions, weights, cache and load reports."""
