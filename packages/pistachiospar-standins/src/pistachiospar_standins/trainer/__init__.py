"""A trainer that creates steps and pulls samples through any entry."""
