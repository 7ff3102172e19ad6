"""Callers that read the results of a step slowly, or not at all.

Guard: a gateway that holds a copy of the results for each of them.
"""

from random import Random
import tracemalloc
from typing import Any

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.gateway.submission_calls import SubmissionHandler
from pistachiospar.platform.callers import read_caller_headers
from pistachiospar.platform.callers import ResultsRequest
from pistachiospar.submissions.models import ResultPage
from pistachiospar.submissions.models import SampleResult
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from result import Ok
import trio
import trio.testing

PAGE_BYTES = 900_000
REQUEST = b"GET /lots/a?after=%d HTTP/1.1\r\nHost: h\r\n\r\n"
READ_S = 1.0


class PreparedReader:
    """A reader that finds a large result, decoded anew each time."""

    async def read(self, *arguments: Any) -> Ok[ResultPage]:
        """Return a page as a peer would send it."""
        text = "x" * PAGE_BYTES
        return Ok(ResultPage(9, [SampleResult("i", True, text, [1], "s")]))


class RefusalCounter:
    """A sender of refusals that counts them."""

    def __init__(self) -> None:
        """Start at none."""
        self.refused = 0

    async def send(self, exchange: Any, *arguments: Any) -> None:
        """Count and send a refusal."""
        self.refused += 1
        await exchange.send_response(503, [], b"")


def block_readers(count: int, positions: int, max_bytes: int) -> list[int]:
    """Have callers read nothing; return what they cost.

    They read from as many positions. The result has the bytes by which the
    memory grew, those of the pages that are held, and the refusals.
    """

    async def work() -> list[int]:
        refusals: Any = RefusalCounter()
        reader: Any = PreparedReader()
        unused: Any = None
        handler = SubmissionHandler(
            unused,
            reader,
            unused,
            refusals,
            lambda: 0.0,
            Metrics(),
            max_bytes,
        )

        async def handle(request: HttpRequest, exchange: Any) -> None:
            after = int(request.parse_query()["after"])
            call = ResultsRequest("a", after, 0.0)
            caller = read_caller_headers(request)
            await handler.handle(call, caller, exchange, None)

        server = HttpServer(handle)
        tracemalloc.start()
        rng = Random(1)
        async with trio.open_nursery() as nursery:
            before, _ = tracemalloc.get_traced_memory()
            for _ in range(count):
                near, far = trio.testing.lockstep_stream_pair()
                nursery.start_soon(server.handle_connection, far)
                request = REQUEST % rng.randrange(positions)
                nursery.start_soon(near.send_all, request)
            await trio.sleep(READ_S)
            after, _ = tracemalloc.get_traced_memory()
            held = handler.pages.count_bytes()
            nursery.cancel_scope.cancel()
        tracemalloc.stop()
        await trio.sleep(0)
        return [after - before, held, refusals.refused]

    found: list[int] = run_virtual(work, 1, 60.0)
    return found
