"""Data classes of the HTTP adapters."""

from dataclasses import dataclass
from dataclasses import field
from typing import TypeAlias
from urllib.parse import parse_qsl

Headers: TypeAlias = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold a whole request; header names are lower case.

    `raw_headers` has each header as it came, repeated ones too; `target` is
    path and query as they came.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes = b""
    raw_headers: Headers = field(default_factory=list)
    target: str = ""

    def parameters(self) -> dict[str, str]:
        """Return the parameters of the query."""
        return dict(parse_qsl(self.query, keep_blank_values=True))


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Hold a whole answer; header names are lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
