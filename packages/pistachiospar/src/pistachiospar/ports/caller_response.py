"""Port through which a process responds to one HTTP request."""

from typing import Protocol

from ..adapters.http.models import Headers
from ..helpers.problems import Problem


class CallerSink(Protocol):
    """Send the response to one caller's request.

    The caller sees a response that is started and not finished as truncated.
    """

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response."""

    async def start(self, status: int, headers: Headers) -> None:
        """Start a response whose length is not known yet."""

    async def write(self, chunk: bytes) -> None:
        """Send one chunk of the body."""

    async def finish(self, trailers: Headers | None = None) -> None:
        """End the body, with trailers if there are any."""

    async def send_problem(
        self, problem: Problem, headers: Headers | None = None
    ) -> None:
        """Send a problem document as a complete response."""
