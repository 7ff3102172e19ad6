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
    """The response to one run order, read as it arrives."""

    reply: RunReply

    def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises LinkLostError when it is truncated."""

    def read_final_versions(self) -> list[int]:
        """Return the weight versions, known once the body has been read."""


class SidecarLink(Protocol):
    """Client of one sidecar."""

    def run(
        self, order: RunOrder, body: bytes
    ) -> AbstractAsyncContextManager[RunStream]:
        """Run an order; leaving the context early cancels it.

        Raises LinkNotSentError and LinkLostError.
        """

    async def send_control(
        self, request: ControlRequest
    ) -> Result[Status, str]:
        """Send a control request; Err after the control timeout."""

    async def pull_bundle(self, epoch: int) -> Result[BundlePush, str]:
        """Return the sidecar's bundle and the key changes after an epoch."""

    async def settle(self, order: SettleOrder) -> Result[Settlement, str]:
        """Query the fate of a request over a new connection."""

    def close(self) -> None:
        """Close all connections to the sidecar."""
