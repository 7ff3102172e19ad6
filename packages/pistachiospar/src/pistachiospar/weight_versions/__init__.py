"""Weight versions: which weights each instance of a pool loads, and when."""
