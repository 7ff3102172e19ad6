"""Port through which gateways send counts to the holder of usage reports."""

from typing import Protocol

from ..usage.messages import CountsMessage
from ..usage.messages import CountsReceipt


class PeerUsage(Protocol):
    """Client of the holder of usage reports."""

    async def send_counts(
        self, address: str, message: CountsMessage
    ) -> CountsReceipt | None:
        """Send counts; None when the gateway fails to reply."""
