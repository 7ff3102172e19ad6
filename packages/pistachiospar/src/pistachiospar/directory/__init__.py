"""Directory: what a gateway knows through the key-value service."""
