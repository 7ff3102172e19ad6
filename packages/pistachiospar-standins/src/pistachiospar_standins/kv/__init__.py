"""The key-value service: compare-and-swap, leases, watches, faults."""
