"""Port of what holds weights: the store, or another sidecar."""

from typing import Protocol

from result import Result


class WeightFetcher(Protocol):
    """Read weights by URL."""

    async def fetch(self, url: str, most_bytes: int) -> Result[bytes, str]:
        """Return the weights; an Err may be tried again."""
