"""Port of the sources of weights: the weight store or another sidecar."""

from typing import Protocol

from result import Result


class WeightFetcher(Protocol):
    """Client that downloads weights by URL."""

    async def fetch(self, url: str, max_bytes: int) -> Result[bytes, str]:
        """Download at most `max_bytes`; an Err may be retried."""
