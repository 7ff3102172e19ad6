"""Command line tool for operators of pistachiospar."""
