"""Support running samples for a peer entry."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

import msgspec
import trio

from ...helpers.problems import refuse_input
from ...telemetry.metrics import Metrics
from ...trainers.dispatch import SampleDispatcher
from ...trainers.models import JobDone
from ...trainers.models import JobsOrder
from ...trainers.runner import JobRunner
from . import const
from ..http.models import HttpRequest
from ..http.server import Exchange

PullHandler = Callable[[HttpRequest, Exchange], Awaitable[None]]


class PeerHandler:
    """Serve the peer port of an entry."""

    def __init__(
        self,
        dispatcher: SampleDispatcher,
        handle_pull: PullHandler,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Take the dispatcher."""
        self._dispatcher = dispatcher
        self._handle_pull = handle_pull
        self._metrics = metrics
        self._rng = rng
        self.runners: set[JobRunner] = set()

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        if request.path != const.PATH_JOBS:
            await self._handle_pull(request, exchange)
            return
        try:
            order = msgspec.msgpack.decode(request.body, type=JobsOrder)
        except msgspec.MsgspecError as error:
            await exchange.send_problem(refuse_input("bad-order", str(error)))
            return
        await self._run_jobs(order, exchange)

    async def _run_jobs(self, order: JobsOrder, exchange: Exchange) -> None:
        """Run the samples and stream them back."""
        sender, receiver = trio.open_memory_channel[JobDone](len(order.jobs))
        runner = JobRunner(
            order,
            self._dispatcher,
            self._metrics,
            self._rng,
            sender.send_nowait,
        )
        headers = [("Transfer-Encoding", "chunked")]
        await exchange.start(200, headers)
        self.runners.add(runner)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(runner.run)
                for _ in order.jobs:
                    await self._send_next(receiver, exchange)
                nursery.cancel_scope.cancel()
        finally:
            self.runners.discard(runner)
        await exchange.finish()

    async def _send_next(
        self,
        receiver: trio.MemoryReceiveChannel[JobDone],
        exchange: Exchange,
    ) -> None:
        """Send the next sample, and empty frames while there is none."""
        while True:
            with trio.move_on_after(const.KEEP_ALIVE_S):
                done = await receiver.receive()
                frame = msgspec.msgpack.encode(done)
                size = len(frame).to_bytes(const.LENGTH_BYTES, "big")
                await exchange.write(size + frame)
                return
            await exchange.write(bytes(const.LENGTH_BYTES))
