"""Port through which an entry calls another entry."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from result import Result

from ..adapters.http.models import HttpResponse
from ..trainers.models import JobDone
from ..trainers.models import JobsOrder


class PeerLostError(Exception):
    """Failure of the connection to a peer entry."""


class EntryPeer(Protocol):
    """Client of a peer entry."""

    def run_jobs(
        self, order: JobsOrder
    ) -> AbstractAsyncContextManager[AsyncIterator[JobDone]]:
        """Run samples at the peer; raises PeerLostError."""

    async def forward(
        self, method: str, target: str, body: bytes
    ) -> Result[HttpResponse, str]:
        """Forward a trainer's call to the owner of its step."""
