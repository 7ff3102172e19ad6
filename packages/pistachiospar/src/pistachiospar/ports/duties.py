"""Port of the interface through which duties are carried out."""

from typing import Protocol

from ..duties.models import DutyOutcome


class DutyClient(Protocol):
    """Client of the duties' interface; `fence` is the holder's."""

    def encode_usage(self, window: int, counts: dict[str, int]) -> bytes:
        """Encode a report; equal counts give equal bytes."""

    async def report_usage(self, fence: int, body: bytes) -> DutyOutcome:
        """Report the calls of a window, as encoded."""

    async def set_instances(
        self, fence: int, upstream: str, zone: str, number: int
    ) -> DutyOutcome:
        """Set the number of instances of an upstream in a zone."""
