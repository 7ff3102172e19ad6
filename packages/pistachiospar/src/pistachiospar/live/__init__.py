"""What all entries watch: the pointer, the entries, announced weights."""
