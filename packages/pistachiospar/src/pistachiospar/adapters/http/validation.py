"""Which parts of a request HTTP can't carry."""

import h11

from .models import encode_headers
from .models import Headers


def find_unsendable_part(target: str, headers: Headers) -> str:
    """Return the first part that can't be sent, empty if all can be.

    That is "path", or the word header with the header's name.
    """
    if _is_sendable(target, headers):
        return ""
    if not _is_sendable(target, []):
        return "path"
    for name, value in headers:
        if not _is_sendable("/", [(name, value)]):
            return f"header {name!r}"
    return "headers"


def _is_sendable(target: str, headers: Headers) -> bool:
    """Return whether a request with a Host and these parts can be sent."""
    try:
        h11.Request(
            method="POST",
            target=target,
            headers=[(b"Host", b"h"), *encode_headers(headers)],
        )
    except (UnicodeEncodeError, h11.LocalProtocolError):
        return False
    return target.startswith("/")
