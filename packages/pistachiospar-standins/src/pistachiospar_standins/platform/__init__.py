"""Stand-ins of the users' platform, over TCP."""
