"""What entry and sidecar processes have in common."""
