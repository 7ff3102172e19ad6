"""The link between an entry and a sidecar: messages and codec."""
