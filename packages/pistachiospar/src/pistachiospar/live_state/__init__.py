"""The keys that all entries watch: pointer, entries, announced weights."""
