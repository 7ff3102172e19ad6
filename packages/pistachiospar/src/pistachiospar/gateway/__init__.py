"""Gateway: serves callers and trainers on the users' platform."""
