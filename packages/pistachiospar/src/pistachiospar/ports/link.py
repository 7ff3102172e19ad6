"""Port of the link from an entry to one sidecar."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from result import Result

from ..link.messages import BundlePush
from ..link.messages import ControlRequest
from ..link.messages import RunOrder
from ..link.messages import RunReply
from ..link.messages import Settlement
from ..link.messages import SettleOrder
from ..link.messages import Status


class RunStream(Protocol):
    """Read the answer to one run order."""

    reply: RunReply

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises LinkLostError when it is cut short."""

    def final_versions(self) -> list[int]:
        """Return the weight versions known once the body is read."""


class SidecarLink(Protocol):
    """Reach one sidecar."""

    def run(
        self, order: RunOrder, body: bytes
    ) -> AbstractAsyncContextManager[RunStream]:
        """Run an order.

        Raises LinkNotSentError and LinkLostError.
        """

    async def send_control(
        self, request: ControlRequest
    ) -> Result[Status, str]:
        """Send a heartbeat or a bundle within the control timeout."""

    async def pull_bundle(self, epoch: int) -> Result[BundlePush, str]:
        """Return the sidecar's bundle and the key changes after an epoch."""

    async def settle(self, order: SettleOrder) -> Result[Settlement, str]:
        """Ask over a fresh link what became of a request."""

    def close(self) -> None:
        """Close all connections."""
