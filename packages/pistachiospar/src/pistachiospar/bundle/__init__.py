"""Bundles: file format, signatures, rolling and the version in force."""
