"""Trainers' steps: scattered, gathered, each sample delivered once."""
