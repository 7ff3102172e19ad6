"""A plain service that counts its runs."""
