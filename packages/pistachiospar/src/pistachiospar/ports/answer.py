"""Port through which a sidecar answers one run order."""

from typing import Protocol

from ..link.messages import RunReply


class AnswerSink(Protocol):
    """Take the answer to one run order.

    An answer that was begun and not finished is seen as cut short.
    """

    async def begin(self, reply: RunReply) -> None:
        """Send the head of the answer."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self, versions: list[int]) -> None:
        """End the body, with the weight versions that took part."""
