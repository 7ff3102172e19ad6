"""Valid and invalid responses of samplers, byte by byte."""

from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from unittest.mock import patch

from pistachiospar.adapters.http.address import Address
from pistachiospar.platform.samplers import PlatformSamplerClient
from pistachiospar.ports.sampler import LoadOrder
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.ports.upstream import UpstreamError
from pistachiospar.ports.upstream import UpstreamNotSentError
from pistachiospar.routing.instances import ListedInstance
from result import Err
import trio

from .endless_responses import ENDLESS_CASES
from .kv_contract import serve_loopback
from .response_cases import CHANGED
from .response_cases import make_response
from .response_cases import make_stream
from .response_cases import NUMBER_CASES
from .response_cases import ResponseCase
from .response_cases import STATUS_CASES
from .response_cases import STREAM_CASES
from .response_cases import TWO_EVENTS
from .response_cases import UNFRAMED

TIMEOUT_S = 10.0
ENDLESS_BLOCK_BYTES = 65_536
# A gateway has 300 MB for everything; its kernel buffers some of these too.
MAX_ENDLESS_BYTES = 64 * 1024 * 1024


LEAVING = "Server-Leaving: 1\r\n"
LEAVING_STREAM = make_stream(b"id: 1\ndata: a\n\n").replace(
    b"\r\n", b"\r\n" + LEAVING.encode(), 1
)
CASES: dict[str, ResponseCase] = {
    "a complete response": ResponseCase(
        (make_response("c1", b"ok"),), ["200 ok"]
    ),
    "two responses on one connection": ResponseCase(
        (make_response("c1", b"ok"), make_response("c2", b"too")),
        ["200 ok", "200 too"],
        calls=2,
    ),
    "a second response to one request": ResponseCase(
        (
            make_response("c1", b"ok") + make_response("c1", b"again"),
            make_response("c2", b"too"),
        ),
        ["200 ok", "200 too"],
        connections=2,
        calls=2,
    ),
    "a response to another request": ResponseCase(
        (make_response("other", b"not yours"),), ["may have run"]
    ),
    "a truncated body": ResponseCase(
        (make_response("c1", b"whole")[:-2],), ["may have run"], is_closed=True
    ),
    "a response without length": ResponseCase(
        (UNFRAMED + b"all",), ["200 all"], is_closed=True
    ),
    "a response without length, then a reset": ResponseCase(
        (UNFRAMED + b"some",), ["may have run"], is_reset=True
    ),
    "bytes that are not HTTP": ResponseCase(
        (b"\x00\x01garbage\r\n\r\n",), ["may have run"], is_closed=True
    ),
    "a 421, as another instance has its address": ResponseCase(
        (make_response("c1", b"", "421 Misdirected"),), ["not run"]
    ),
    "a 503 that says the request did not run": ResponseCase(
        (make_response("c1", b"", "503 Full", "Not-Executed: 1\r\n"),),
        ["not run"],
    ),
    "a 500 response": ResponseCase(
        (make_response("c1", b"no", "500 Error"),), ["500 no"]
    ),
    "a stream": ResponseCase(
        (make_stream(*TWO_EVENTS),), ["4: 1 a", "2 b", "end"], is_stream=True
    ),
    "a stream whose weights change": ResponseCase(
        (make_stream(*CHANGED),), ["4: 1 a", "2 b of 5", "end"], is_stream=True
    ),
    **STREAM_CASES,
    "a stream truncated within an event": ResponseCase(
        (make_stream(TWO_EVENTS[0], end=False),),
        ["4: 1 a", "may have run"],
        is_closed=True,
        is_stream=True,
    ),
    "a stream that ends within an event": ResponseCase(
        (make_stream(TWO_EVENTS[0]),),
        ["4: 1 a", "may have run"],
        is_stream=True,
    ),
    "a 200 that says it is leaving": ResponseCase(
        (make_response("c1", b"ok", extra=LEAVING),), ["leaving", "200 ok"]
    ),
    "a 500 that says it is leaving": ResponseCase(
        (make_response("c1", b"no", "500 Error", LEAVING),),
        ["leaving", "500 no"],
    ),
    "a refusal that says it is leaving": ResponseCase(
        (make_response("c1", b"", "503 No", "Not-Executed: 1\r\n" + LEAVING),),
        ["leaving", "not run"],
    ),
    "a stream that says it is leaving": ResponseCase(
        (LEAVING_STREAM,), ["leaving", "4: 1 a", "end"], is_stream=True
    ),
    "a 421 of another one that is leaving": ResponseCase(
        (make_response("c1", b"", "421 Misdirected", LEAVING),), ["not run"]
    ),
    "a 200 that says it is not leaving": ResponseCase(
        (make_response("c1", b"ok", extra="Server-Leaving: 0\r\n"),),
        ["200 ok"],
    ),
    "an order's response that says it is leaving": ResponseCase(
        (make_response("", b"{}", "202 Accepted", LEAVING),),
        ["leaving", "accepted"],
        operation="order",
    ),
    "a report that says it is leaving": ResponseCase(
        (make_response("", b"{}", extra=LEAVING),),
        ["leaving", "idle"],
        operation="report",
    ),
    "a 200 that names a limit": ResponseCase(
        (make_response("c1", b"ok", extra="Server-Limit: 2.5\r\n"),),
        ["limit 2.5", "200 ok"],
    ),
    "a refusal that names a limit": ResponseCase(
        (
            make_response(
                "c1", b"", "503 No", "Not-Executed: 1\r\nServer-Limit: 0\r\n"
            ),
        ),
        ["limit 0.0", "not run"],
    ),
    "a 421 of another one that names a limit": ResponseCase(
        (make_response("c1", b"", "421 Misdirected", "Server-Limit: 3\r\n"),),
        ["not run"],
    ),
    "a limit that is not a number": ResponseCase(
        (make_response("c1", b"ok", extra="Server-Limit: nan\r\n"),),
        ["200 ok"],
    ),
    "a 200 that reports a load": ResponseCase(
        (make_response("c1", b"ok", extra="Instance-Load: 5,2,8\r\n"),),
        ["load 5,2,8 at 1", "200 ok"],
    ),
    "a 200 that reports a load and a pace": ResponseCase(
        (make_response("c1", b"ok", extra="Instance-Load: 5, 2,8,250\r\n"),),
        ["load 5,2,8 at 2.5", "200 ok"],
    ),
    "a 200 that reports a load of five figures": ResponseCase(
        (make_response("c1", b"ok", extra="Instance-Load: 5,2,8,50,x\r\n"),),
        ["load 5,2,8 at 0.5", "200 ok"],
    ),
    "a 421 of another one that reports a load": ResponseCase(
        (
            make_response(
                "c1", b"", "421 Misdirected", "Instance-Load: 5,2,8\r\n"
            ),
        ),
        ["not run"],
    ),
    "two loads that can't be read": ResponseCase(
        (
            make_response("c1", b"ok", extra="Instance-Load: 5,x,8\r\n"),
            make_response("c2", b"ok", extra="Instance-Load: 5,2,8,0\r\n"),
        ),
        ["unreadable 5,x,8", "200 ok", "200 ok"],
        calls=2,
    ),
    "a load of two figures": ResponseCase(
        (make_response("c1", b"ok", extra="Instance-Load: 5,2\r\n"),),
        ["unreadable 5,2", "200 ok"],
    ),
    "a limit below zero": ResponseCase(
        (make_response("c1", b"ok", extra="Server-Limit: -1\r\n"),),
        ["200 ok"],
    ),
    "an order's response that names a limit": ResponseCase(
        (make_response("", b"{}", "202 Accepted", "Server-Limit: 4\r\n"),),
        ["limit 4.0", "accepted"],
        operation="order",
    ),
    "a report that names a limit": ResponseCase(
        (make_response("", b"{}", extra="Server-Limit: 4\r\n"),),
        ["limit 4.0", "idle"],
        operation="report",
    ),
    "a report that tells of its memory": ResponseCase(
        (make_response("", b'{"kvUsed":5,"kvTotal":90}'),),
        ["idle", "5 of 90 tokens"],
        operation="report",
    ),
    "a report whose memory can't be read": ResponseCase(
        (make_response("", b'{"kvUsed":true,"kvTotal":"9","busy":true}'),),
        ["busy"],
        operation="report",
    ),
    **STATUS_CASES,
    **NUMBER_CASES,
    **ENDLESS_CASES,
    "nothing, as its port is closed": ResponseCase(
        (), ["not sent"], connections=0
    ),
}


@dataclass(slots=True)
class RawSampler:
    """Sampler that sends the next prepared bytes for each request."""

    case: ResponseCase
    connections: int = 0
    served: int = 0
    endless_bytes: int = 0
    requests: list[bytes] = field(default_factory=list)

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        async with stream:
            async for data in stream:
                self.requests.append(bytes(data))
                if self.served >= len(self.case.responses):
                    return
                response = self.case.responses[self.served]
                self.served += 1
                await stream.send_all(response)
                if self.case.endless:
                    await self._send_without_end(stream)
                    return
                if self.case.is_reset:
                    await trio.sleep(0.02)
                    _reset_connection(stream)
                    return
                if self.case.is_closed:
                    return

    async def _send_without_end(self, stream: trio.SocketStream) -> None:
        """Send until the gateway closes the connection."""
        block = self.case.endless * (ENDLESS_BLOCK_BYTES // 16)
        with suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(block)
                self.endless_bytes += len(block)


def _reset_connection(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
    stream.socket.close()


def run_case(name: str) -> tuple[list[str], int, RawSampler]:
    """Make the calls of a case; return results, connections and sampler."""
    case = CASES[name]
    sampler = RawSampler(case)

    async def work() -> list[str]:
        with trio.fail_after(TIMEOUT_S):
            async with serve_loopback(sampler.handle) as address:
                if not case.connections:
                    address = Address("127.0.0.1", 1)
                return await _make_calls(case, address)

    return trio.run(work), sampler.connections, sampler


async def _make_calls(case: ResponseCase, address: Address) -> list[str]:
    """Make the calls of a case; return a text for each result."""
    samplers = PlatformSamplerClient()
    instance = ListedInstance("i-1", "app", address, "zone", 8, False)
    found: list[str] = []
    samplers.report_leaving = lambda instance: found.append("leaving")

    def record_limit(
        instance: ListedInstance, limit: float | None, sent_at: float
    ) -> None:
        if limit is not None:
            found.append(f"limit {limit}")

    samplers.report_limit = record_limit
    with patch("pistachiospar.platform.samplers.log_event") as log_event:
        log_event.side_effect = lambda event, instance, header: found.append(
            f"{event.removeprefix('instance_load_')} {header}"
        )
        await _make_numbered_calls(case, samplers, instance, found)
    return found


async def _make_numbered_calls(
    case: ResponseCase,
    samplers: PlatformSamplerClient,
    instance: ListedInstance,
    found: list[str],
) -> None:
    """Make the calls of a case; add a text for each result to `found`."""
    readers: dict[str, Callable[..., Awaitable[list[str]]]] = {
        "call": _read_stream if case.is_stream else _read_complete,
        "order": _send_order,
        "report": _fetch_report,
    }
    read_response = readers[case.operation]
    for number in range(1, case.calls + 1):
        call = SamplerCall(
            f"c{number}",
            "POST",
            "/a?b=c",
            [("Host", "h.example"), ("X-Own", "1"), ("Deadline-Ms", "900")],
            b"body",
            0.5,
        )
        try:
            results = await read_response(samplers, instance, call)
            found.extend(results)
        except UpstreamNotSentError:
            found.append("not sent")
        except UpstreamError:
            found.append("may have run")
        await trio.sleep(0.02)


async def _send_order(
    samplers: PlatformSamplerClient,
    instance: ListedInstance,
    call: SamplerCall,
) -> list[str]:
    """Send a load order."""
    order = LoadOrder("m", 2, "g", 1, 0)
    return [(await samplers.order_load(instance, order)).value]


async def _fetch_report(
    samplers: PlatformSamplerClient,
    instance: ListedInstance,
    call: SamplerCall,
) -> list[str]:
    """Fetch a report."""
    fetched = await samplers.fetch_report(instance)
    if isinstance(fetched, Err):
        return ["no report"]
    report = fetched.ok_value
    found = ["busy" if report.busy else "idle"]
    if report.kv_total is not None:
        found.append(f"{report.kv_used} of {report.kv_total} tokens")
    return found


async def _read_complete(
    samplers: PlatformSamplerClient,
    instance: ListedInstance,
    call: SamplerCall,
) -> list[str]:
    """Read a complete response."""
    async with samplers.call(instance, call) as response:
        body = await response.read_body()
        if response.not_run:
            assert response.load is None, response.load
            return ["not run"]
        load = response.load
        found = []
        if load is not None:
            figures = f"{load.running},{load.waiting},{load.slots}"
            found.append(f"load {figures} at {load.pace:g}")
        return [*found, f"{response.status} {body.decode()}"]


async def _read_stream(
    samplers: PlatformSamplerClient,
    instance: ListedInstance,
    call: SamplerCall,
) -> list[str]:
    """Read a stream; events before a fault are returned too."""
    found: list[str] = []
    async with samplers.call(instance, call) as response:
        try:
            async for event in response.iter_events():
                text = f"{event.number} {event.data}"
                if event.version is not None:
                    text += f" of {event.version}"
                found.append(text)
            found.append("end")
        except UpstreamError:
            found.append("may have run")
        found[0] = f"{response.version}: {found[0]}"
    return found
