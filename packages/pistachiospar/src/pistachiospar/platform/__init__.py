"""The users' platform: its names, formats and calls; nothing decides here."""
