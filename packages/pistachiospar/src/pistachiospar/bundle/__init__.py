"""Bundles: format, signatures, the version in force."""
