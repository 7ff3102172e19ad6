"""New weights of trainers: announced once, known to all entries."""
