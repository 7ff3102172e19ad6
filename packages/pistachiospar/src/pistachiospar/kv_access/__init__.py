"""Access to the key-value service, through a peer if need be."""
