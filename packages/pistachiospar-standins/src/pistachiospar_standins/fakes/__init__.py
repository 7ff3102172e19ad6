"""In-memory fakes of the ports, for tests in virtual time."""
