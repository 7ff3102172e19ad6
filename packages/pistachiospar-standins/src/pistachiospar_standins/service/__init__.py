"""A plain service that counts each run."""
