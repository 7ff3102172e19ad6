"""Order of waiting calls by priority, organisation and deadline."""
