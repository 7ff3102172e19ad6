"""Messages and codec of the link between an entry and a sidecar."""
