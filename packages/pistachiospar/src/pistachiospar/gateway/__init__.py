"""Gateway: serve callers and trainers on the users' platform."""
