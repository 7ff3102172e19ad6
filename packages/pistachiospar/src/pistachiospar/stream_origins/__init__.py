"""Which software version began the streams that callers resume."""
