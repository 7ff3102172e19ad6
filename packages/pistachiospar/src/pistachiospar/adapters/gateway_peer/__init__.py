"""Calls between gateways: results of the submissions held elsewhere."""
