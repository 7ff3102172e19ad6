"""Calls between gateways over HTTP: results and key-value calls."""
