"""Trainers' steps: samples are scattered, gathered and delivered once."""
