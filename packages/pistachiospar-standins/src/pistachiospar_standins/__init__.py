"""Stand-ins for the services around pistachiospar, for demo and tests."""
