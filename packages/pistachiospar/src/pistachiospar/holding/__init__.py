"""Holding: at most one gateway holds a pool, under a lease with a fence."""
