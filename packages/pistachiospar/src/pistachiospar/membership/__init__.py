"""Which sidecars an entry links to, and what it knows of each."""
