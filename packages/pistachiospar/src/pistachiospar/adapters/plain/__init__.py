"""Plain services over HTTP."""
