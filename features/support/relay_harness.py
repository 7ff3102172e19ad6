"""A gateway between callers and samplers that send prepared bytes."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import h11
import msgspec
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.gateway.coordinator import GatewayCoordinator
from pistachiospar.gateway.models import GatewayIdentity
from pistachiospar.platform import const
from pistachiospar.platform.directory import PLATFORM_KEYS
from pistachiospar.platform.samplers import PlatformSamplerClient
from pistachiospar.pool_holders.clock import Clocks
from pistachiospar_standins.fakes.configurations import make_route
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import MemoryGatewayPeer
from pistachiospar_standins.fakes.kv import KvFaultSet
from pistachiospar_standins.fakes.kv import PolledFakeKeyValue
import trio

from .kv_contract import serve_loopback

POOL = "pool"
# When the samplers say that they started.
BORN_MS = 1
TIMEOUT_S = 8.0
# Paths by kind: repeatable, at most once, resumable and not.
SAFE, UNSAFE, RESUMABLE, STREAM = "/safe/", "/once/", "/resume/", "/stream/"
ROLLOUT = "/roll/"


@dataclass(frozen=True, slots=True)
class Received:
    """A response as a caller got it; status 0 without a whole head.

    `headers` has the bytes of each value by the name in lower case.
    """

    status: int
    body: bytes
    is_complete: bool
    headers: dict[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RelayGateway:
    """Where a gateway listens, and the fleet that has its store."""

    host: str
    port: int
    fleet: GatewayFleet


Sampler = Callable[[trio.SocketStream], Awaitable[None]]


def _make_configuration() -> bytes:
    """Return a configuration with a route of each kind."""
    routes = [
        make_route(HOST, "safe", SAFE, "safe", POOL),
        make_route(HOST, "once", UNSAFE, "unsafe", POOL),
        make_route(HOST, "resume", RESUMABLE, "safe", POOL)
        | {"stream": True, "resumable": True},
        make_route(HOST, "stream", STREAM, "safe", POOL)
        | {"stream": True, "resumable": False},
        make_route(HOST, "roll", ROLLOUT, "rollout", POOL)
        | {"resultDueMs": 7500, "maxAgeS": 40},
    ]
    services = [
        {"name": POOL, "maxConns": 100, "engine": {"models": [{"name": "m"}]}}
    ]
    return msgspec.json.encode(
        {"version": 1, "routes": routes, "services": services, "limits": {}}
    )


def _tolerate_resets(handle: Sampler) -> Sampler:
    """Return a sampler that ends where the gateway resets a connection."""

    async def serve(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            await handle(stream)

    return serve


@asynccontextmanager
async def run_gateway(samplers: list[Sampler]) -> AsyncIterator[RelayGateway]:
    """Serve callers with a gateway before some samplers."""
    fleet = GatewayFleet(GatewayPlan(gateways=0, samplers=0, apps=0))
    fleet.store.write(const.KEY_CONFIG, _make_configuration(), 0, 0.0)
    async with AsyncExitStack() as stack:
        for number, handle in enumerate(samplers):
            address = await stack.enter_async_context(
                serve_loopback(_tolerate_resets(handle))
            )
            fleet.addresses[f"s{number}"] = str(address)
            fleet.add_sampler(f"s{number}", POOL)
            fleet.cluster.samplers[f"s{number}"].started_ms = BORN_MS
            fleet.write_instance(f"s{number}", POOL)
        coordinator = GatewayCoordinator(
            GatewayIdentity("g0", "zone", "g0", 3.0, 1_000_000, 120.0),
            PLATFORM_KEYS,
            PolledFakeKeyValue(fleet.store, KvFaultSet()),
            PlatformSamplerClient(),
            MemoryGatewayPeer(fleet, "g0"),
            Clocks(),
            Random(1),
        )
        nursery = await stack.enter_async_context(trio.open_nursery())
        await nursery.start(coordinator.run)
        server = HttpServer(coordinator.handler.handle)
        address = await stack.enter_async_context(
            serve_loopback(server.handle_connection)
        )
        yield RelayGateway(address.host, address.port, fleet)
        nursery.cancel_scope.cancel()


async def send(
    gateway: RelayGateway,
    path: str,
    call_id: str,
    extra: dict[bytes, bytes] | None = None,
) -> Received:
    """Send a request on a new connection; return what came back.

    Headers in `extra` replace those of the same name.
    """
    stream = await trio.open_tcp_stream(gateway.host, gateway.port)
    connection = h11.Connection(h11.CLIENT)
    headers = {
        b"Host": HOST.encode(),
        b"Request-Id": call_id.encode(),
        b"Deadline-Ms": b"1500",
        b"Content-Length": b"0",
        **(extra or {}),
    }
    request = h11.Request(
        method="POST", target=path + "x", headers=list(headers.items())
    )
    data = connection.send(request) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    status, body, found = 0, b"", dict[bytes, bytes]()
    async with stream:
        await stream.send_all(data)
        with trio.move_on_after(TIMEOUT_S):
            while True:
                try:
                    event = connection.next_event()
                    if event is h11.NEED_DATA:
                        connection.receive_data(
                            bytes(await stream.receive_some(65536))
                        )
                except (h11.RemoteProtocolError, trio.BrokenResourceError):
                    break
                match event:
                    case h11.Response():
                        status = event.status_code
                        found = dict(event.headers)
                    case h11.Data():
                        body += bytes(event.data)
                    case h11.EndOfMessage():
                        return Received(status, body, True, found)
                    case h11.ConnectionClosed():
                        break
    return Received(status, body, False, found)


def reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
    stream.socket.close()


async def receive_head(stream: trio.SocketStream) -> dict[str, str] | None:
    """Receive a request without a body; return its headers, None at the end.

    Requests for the sampler's report are answered.
    """
    buffer = b""
    while True:
        while b"\r\n\r\n" not in buffer:
            data = await stream.receive_some(65536)
            if not data:
                return None
            buffer += bytes(data)
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        if const.PATH_REPORT not in first:
            pairs = [line.partition(": ") for line in lines]
            return {name.lower(): value for name, _, value in pairs}
        report = msgspec.json.encode({"born": BORN_MS})
        length = b"%d" % len(report)
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nContent-Length: "
            + length
            + b"\r\n\r\n"
            + report
        )
