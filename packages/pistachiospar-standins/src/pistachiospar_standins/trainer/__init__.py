"""A trainer: puts steps, pulls samples through any entry."""
