"""Directory: what a gateway knows from the key-value service."""
