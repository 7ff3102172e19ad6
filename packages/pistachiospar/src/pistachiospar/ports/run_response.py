"""Port through which a sidecar responds to one run order."""

from typing import Protocol

from ..link.messages import RunReply


class RunResponseSink(Protocol):
    """Send the response to one run order.

    The receiver treats a response that is not finished as truncated.
    """

    async def start(self, reply: RunReply) -> None:
        """Send the reply that precedes the body."""

    async def write(self, chunk: bytes) -> None:
        """Send one chunk of the body."""

    async def finish(self, versions: list[int]) -> None:
        """End the body; `versions` are the weight versions that made it."""
