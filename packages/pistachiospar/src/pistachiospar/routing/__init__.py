"""Routing: routes and upstreams of the operator's configuration."""
