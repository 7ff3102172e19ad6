"""Calls between entries over HTTP."""
