"""The key-value service: transactions, leases, watches and faults."""
