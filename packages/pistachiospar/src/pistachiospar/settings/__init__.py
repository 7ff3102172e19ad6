"""Settings files of entry and sidecar processes."""
