"""Protocols that adapters implement: platform, upstreams, links and peers."""
