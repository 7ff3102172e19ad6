"""Port through which a gateway asks the holder of a pool."""

from typing import Protocol

from ..submissions.models import ResultPage


class SubmissionPeer(Protocol):
    """Reach other gateways."""

    async def read(
        self, address: str, submission: str, after: int, wait_s: float
    ) -> ResultPage | None:
        """Return results; None when unreachable or not known there."""
