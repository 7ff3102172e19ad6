"""Requests and responses of the HTTP client and server."""

from dataclasses import dataclass
from dataclasses import field
from typing import TypeAlias
from urllib.parse import parse_qsl

Headers: TypeAlias = list[tuple[str, str]]


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Encode headers as they were decoded: a value may have any byte.

    Raises UnicodeEncodeError for text that came from elsewhere.
    """
    return [(n.encode("ascii"), v.encode("latin-1")) for n, v in headers]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; the names in `headers` are in lower case.

    `raw_headers` has each header as received, including repeated ones;
    `target` is the path and query as received.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    raw_headers: Headers = field(default_factory=list)
    target: str = ""

    def parse_query(self) -> dict[str, str]:
        """Return the query parameters; the last one wins if repeated."""
        return dict(parse_qsl(self.query, keep_blank_values=True))


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; the names in `headers` are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
