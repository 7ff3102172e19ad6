"""The gateway process: callers and trainers on the users' platform."""
