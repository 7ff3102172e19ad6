"""Port through which an entry answers one caller."""

from typing import Protocol

from ..adapters.http.models import Headers
from ..helpers.problems import Problem


class CallerSink(Protocol):
    """Take the answer to one caller's request.

    An answer that was started and not finished is seen as cut short.
    """

    async def send_whole(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Start an answer whose length is not known."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self, trailers: Headers | None = None) -> None:
        """End the body."""

    async def send_problem(
        self, problem: Problem, headers: Headers | None = None
    ) -> None:
        """Send a problem document."""
