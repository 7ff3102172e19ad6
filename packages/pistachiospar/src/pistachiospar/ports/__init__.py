"""Ports: protocols of the platform, of upstreams and of peers."""
