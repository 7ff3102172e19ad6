"""An entry's links to sidecars and what it knows of each instance."""
