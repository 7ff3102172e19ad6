"""Port of one entry towards another."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from result import Result

from ..adapters.http.models import HttpAnswer
from ..trainers.models import JobDone
from ..trainers.models import JobsOrder


class PeerError(Exception):
    """Tell that a peer entry was lost."""


class EntryPeer(Protocol):
    """Reach a peer entry."""

    def run_jobs(
        self, order: JobsOrder
    ) -> AbstractAsyncContextManager[AsyncIterator[JobDone]]:
        """Run samples at the peer; raises PeerError."""

    async def forward(
        self, method: str, target: str, body: bytes
    ) -> Result[HttpAnswer, str]:
        """Pass a trainer's call on to the owner of its step."""
