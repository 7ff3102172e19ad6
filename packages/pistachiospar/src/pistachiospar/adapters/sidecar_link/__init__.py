"""The link over h11 (requests) and pynng (control)."""
