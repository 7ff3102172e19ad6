"""Callers' requests: instance choice, retries and final responses."""
