"""Support the port between entries in memory."""

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

from .sinks import AnswerExchange

LATENCY_S = 0.001
POLL_S = 0.25


class FakeEntryPeer:
    """Reach a peer entry in memory, as long as it lives."""

    def __init__(
        self, entries: Mapping[str, EntryCoordinator], address: str
    ) -> None:
        """Take the live entries; the address begins with the name."""
        self._entries = entries
        self._name = address.partition(":")[0]

    @asynccontextmanager
    async def run_jobs(
        self, order: JobsOrder
    ) -> AsyncIterator[AsyncIterator[JobDone]]:
        """Run samples at the peer; raises PeerLostError."""
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
            yield self._read(entry, receiver, len(order.jobs))
        finally:
            scope.cancel()

    async def forward(
        self, method: str, target: str, body: bytes
    ) -> Result[HttpResponse, str]:
        """Pass a trainer's call on to the owner of its step."""
        await trio.sleep(LATENCY_S)
        entry = self._entries.get(self._name)
        if entry is None:
            return Err("connection refused")
        path, _, query = target.partition("?")
        exchange = AnswerExchange()
        request = HttpRequest(method, path, query, {}, body)
        await entry.handler.handle_peer(request, exchange)
        if self._entries.get(self._name) is not entry:
            return Err("connection lost")
        return Ok(
            HttpResponse(exchange.status, exchange.headers, exchange.body)
        )

    async def _read(
        self,
        entry: EntryCoordinator,
        receiver: trio.MemoryReceiveChannel[JobDone],
        count: int,
    ) -> AsyncIterator[JobDone]:
        """Yield samples; raises PeerLostError when the peer dies."""
        received = 0
        while received < count:
            if self._entries.get(self._name) is not entry:
                raise PeerLostError("connection lost")
            done: JobDone | None = None
            with trio.move_on_after(POLL_S):
                done = await receiver.receive()
            if done is not None:
                received += 1
                yield done


async def _run_scoped(runner: JobRunner, scope: trio.CancelScope) -> None:
    """Run samples until the peer's connection ends."""
    with scope:
        await runner.run()
