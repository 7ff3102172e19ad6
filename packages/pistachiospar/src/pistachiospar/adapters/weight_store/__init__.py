"""Weights over HTTP, from the store or from another sidecar."""
