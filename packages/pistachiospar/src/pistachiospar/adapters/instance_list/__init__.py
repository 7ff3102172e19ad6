"""Instance list over HTTP."""
