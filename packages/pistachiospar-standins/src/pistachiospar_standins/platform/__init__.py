"""Stand-ins for the users' platform, over TCP."""
