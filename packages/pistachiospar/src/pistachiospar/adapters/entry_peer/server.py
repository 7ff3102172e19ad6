"""HTTP handler of the calls of peer entries."""

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
from ..http.exchange import Exchange
from ..http.models import HttpRequest

ForwardedCallHandler = Callable[[HttpRequest, Exchange], Awaitable[None]]


class EntryPeerHandler:
    """HTTP handler of an entry's peer port.

    It runs samples for other entries and serves the trainers' calls that
    they forward. `runners` has one runner for each order in progress.
    """

    def __init__(
        self,
        dispatcher: SampleDispatcher,
        handle_forwarded: ForwardedCallHandler,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Run samples with `dispatcher`; pass other calls on."""
        self._dispatcher = dispatcher
        self._handle_forwarded = handle_forwarded
        self._metrics = metrics
        self._rng = rng
        self.runners: set[JobRunner] = set()

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request of a peer entry."""
        if request.path != const.PATH_JOBS:
            await self._handle_forwarded(request, exchange)
            return
        try:
            order = msgspec.msgpack.decode(request.body, type=JobsOrder)
        except msgspec.MsgspecError as error:
            await exchange.send_problem(refuse_input("bad-order", str(error)))
            return
        await self._run_jobs(order, exchange)

    async def _run_jobs(self, order: JobsOrder, exchange: Exchange) -> None:
        """Run samples and stream them back as they finish."""
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
                    await self._send_next_job(receiver, exchange)
                nursery.cancel_scope.cancel()
        finally:
            self.runners.discard(runner)
        await exchange.finish()

    async def _send_next_job(
        self,
        receiver: trio.MemoryReceiveChannel[JobDone],
        exchange: Exchange,
    ) -> None:
        """Send the next finished sample, and keep-alives until then."""
        while True:
            with trio.move_on_after(const.KEEP_ALIVE_INTERVAL_S):
                done = await receiver.receive()
                frame = msgspec.msgpack.encode(done)
                length = len(frame).to_bytes(const.FRAME_LENGTH_BYTES, "big")
                await exchange.write(length + frame)
                return
            await exchange.write(bytes(const.FRAME_LENGTH_BYTES))
