"""Telemetry: structured logs and metrics."""
