"""Requests that crash the instances that run them."""
