"""In-memory fake of the port between entries."""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from contextlib import asynccontextmanager

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.models import HttpResponse
from pistachiospar.entry.coordinator import EntryCoordinator
from pistachiospar.ports.peer import PeerLostError
from pistachiospar.trainers.models import JobDone
from pistachiospar.trainers.models import JobsOrder
from pistachiospar.trainers.runner import JobRunner
from result import Err
from result import Ok
from result import Result
import trio

from .recorders import ResponseRecorder

LATENCY_S = 0.001
POLL_INTERVAL_S = 0.25


class FakeEntryPeer:
    """A peer entry in memory, reachable while it runs."""

    def __init__(
        self, entries: Mapping[str, EntryCoordinator], address: str
    ) -> None:
        """Find the peer among the running entries.

        The part of `address` before the colon is the entry's name.
        """
        self._entries = entries
        self._name = address.partition(":")[0]

    @asynccontextmanager
    async def run_jobs(
        self, order: JobsOrder
    ) -> AsyncIterator[AsyncIterator[JobDone]]:
        """Generate samples at the peer; raises PeerLostError."""
        await trio.sleep(LATENCY_S)
        entry = self._entries.get(self._name)
        if entry is None:
            raise PeerLostError("connection refused")
        sender, receiver = trio.open_memory_channel[JobDone](len(order.jobs))
        runner = JobRunner(
            order,
            entry.dispatcher,
            entry.metrics,
            entry.rng,
            sender.send_nowait,
        )
        scope = trio.CancelScope()
        try:
            entry.steps.start_task(_run_scoped, runner, scope)
        except RuntimeError as error:
            raise PeerLostError("connection refused") from error
        try:
            yield self._iter_results(entry, receiver, len(order.jobs))
        finally:
            scope.cancel()

    async def forward(
        self, method: str, target: str, body: bytes
    ) -> Result[HttpResponse, str]:
        """Forward a trainer's call to the entry that owns its step."""
        await trio.sleep(LATENCY_S)
        entry = self._entries.get(self._name)
        if entry is None:
            return Err("connection refused")
        path, _, query = target.partition("?")
        recorder = ResponseRecorder()
        request = HttpRequest(method, path, query, {}, body)
        await entry.handler.handle_peer(request, recorder)
        if self._entries.get(self._name) is not entry:
            return Err("connection lost")
        return Ok(
            HttpResponse(recorder.status, recorder.headers, recorder.body)
        )

    async def _iter_results(
        self,
        entry: EntryCoordinator,
        receiver: trio.MemoryReceiveChannel[JobDone],
        count: int,
    ) -> AsyncIterator[JobDone]:
        """Yield `count` results; raises PeerLostError when the peer dies."""
        received = 0
        while received < count:
            if self._entries.get(self._name) is not entry:
                raise PeerLostError("connection lost")
            result: JobDone | None = None
            with trio.move_on_after(POLL_INTERVAL_S):
                result = await receiver.receive()
            if result is not None:
                received += 1
                yield result


async def _run_scoped(runner: JobRunner, scope: trio.CancelScope) -> None:
    """Generate samples until the requesting entry cancels `scope`."""
    with scope:
        await runner.run()
