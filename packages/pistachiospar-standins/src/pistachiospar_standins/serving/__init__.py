"""What all stand-ins have in common."""
