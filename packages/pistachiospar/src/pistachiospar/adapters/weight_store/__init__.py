"""Download of weights over HTTP, from the store or another sidecar."""
