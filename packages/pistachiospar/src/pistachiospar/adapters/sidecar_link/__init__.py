"""Link from entry to sidecar: HTTP for orders, TCP frames for control."""
