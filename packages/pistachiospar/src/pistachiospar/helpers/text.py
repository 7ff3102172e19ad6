"""Sizes of text as it is stored and sent."""


def count_bytes(text: str) -> int:
    """Return how many bytes a text takes in UTF-8."""
    return len(text) if text.isascii() else len(text.encode())
