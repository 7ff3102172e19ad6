"""The instance list over HTTP."""
