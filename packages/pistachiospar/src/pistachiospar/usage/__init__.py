"""Usage reports: calls of callers by organisation and window of time."""
