"""Forwarding of callers' requests to instances of upstreams."""
