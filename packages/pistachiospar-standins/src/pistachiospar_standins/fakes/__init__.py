"""Small fakes at the ports, for tests in virtual time."""
