"""Random bytes from callers, samplers and writers of the store.

Guard: an input that ends a gateway, or that makes a sampler run what no
caller sent. After each input a plain call has to be served.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
import json
from random import Random

from pistachiospar.telemetry.containment import contained_errors
from pistachiospar_standins.fakes.gateway_fleet import HOST
import trio

from .relay_harness import receive_head
from .relay_harness import RelayGateway
from .relay_harness import RESUMABLE
from .relay_harness import run_gateway
from .relay_harness import SAFE
from .relay_harness import send
from .relay_harness import UNSAFE

INPUTS_PER_SEED = 12
READ_S = 0.15
# Bytes that mean something to a parser of heads, bodies or JSON.
PIECES = (
    b"\r\n",
    b"\n",
    b"\0",
    b"\x80\xff",
    b": ",
    b" ",
    b"\t",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: -1\r\n",
    b"Host: other\r\n",
    b"Request-Id: other\r\n",
    b"0\r\n\r\n",
    b"fffffffff\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"POST /safe/smuggled HTTP/1.1\r\n",
    b'{"a":',
    b"[[[[[[[[",
    b"id: 1\n",
    b"\n\n",
    b"9" * 40,
)
PREFIXES = (
    "servers/",
    "op/config",
    "op/version/m",
    "op/retire/x",
    "ps/g/holder/pool",
    "ps/g/member/g1",
    "ps/g/software/pool",
    "ps/g/crash/g1",
    "ps/s/sub",
    "ps/s/sub/end",
    "ps/r/sub/000000",
    "ps/p/pool",
)
VALUES: tuple[object, ...] = (
    None,
    True,
    -1,
    10**30,
    1e300,
    "",
    "x",
    "\u0101",
    "a\r\nb: c",
    "\0",
    [],
    {},
    [None],
    {"a": {}},
    "9" * 400,
)


def mutate(data: bytes, rng: Random) -> bytes:
    """Return bytes of which some are replaced, left out, added or moved."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(changed) + 1)
        match rng.randrange(4):
            case 0:
                changed[at:at] = rng.choice(PIECES)
            case 1:
                del changed[at : at + rng.randint(1, 20)]
            case 2:
                changed[at : at + 1] = bytes([rng.randrange(256)])
            case _:
                changed[at:at] = changed[: rng.randint(1, 60)]
    return bytes(changed)


def mutate_json(value: object, rng: Random) -> object:
    """Return a JSON value with one of its parts replaced."""
    match value:
        case dict() if value and rng.random() < 0.85:
            key = rng.choice(list(value))
            return {**value, key: mutate_json(value[key], rng)}
        case list() if value and rng.random() < 0.85:
            at = rng.randrange(len(value))
            return [*value[:at], mutate_json(value[at], rng), *value[at + 1 :]]
    return rng.choice(VALUES)


def _make_head(rng: Random) -> bytes:
    """Return a valid request."""
    path = rng.choice((SAFE, UNSAFE, RESUMABLE, "/lots/a?after=", "/items/"))
    body = rng.choice((b"", b"body"))
    framing = (
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        if rng.random() < 0.3
        else b"Content-Length: %d\r\n\r\n" % len(body) + body
    )
    return (
        f"POST {path}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: sent\r\n"
        "Deadline-Ms: 100\r\nModel: m\r\nToken-Counts: 10,20\r\n"
    ).encode() + framing


def _make_submission(rng: Random) -> bytes:
    """Return a submission of which a part of the body is replaced."""
    item = {
        "id": "sent",
        "path": "/roll/x",
        "headers": {"Model": "m", "Token-Counts": "10,20"},
        "body": "aGk=",
        "tokens": 30,
        "group": "g",
        "scorer": {"id": "sent", "host": HOST, "path": "/safe/y"},
    }
    value: object = {"items": [item, item], "step": 0, "model": "m"}
    for _ in range(rng.randint(0, 3)):
        value = mutate_json(value, rng)
    body = json.dumps(value).encode()
    head = f"POST /roll/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: sent-"
    head += f"{rng.random()}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def _send_raw(gateway: RelayGateway, data: bytes) -> None:
    """Send bytes on a new connection and read for a while."""
    stream = await trio.open_tcp_stream(gateway.host, gateway.port)
    async with stream:
        try:
            await stream.send_all(data)
            with trio.move_on_after(READ_S):
                while await stream.receive_some(65536):
                    pass
        except trio.BrokenResourceError:
            pass


class FuzzedSampler:
    """A sampler whose responses may be mutated."""

    def __init__(self, rng: Random) -> None:
        """Send sound responses first."""
        self._rng = rng
        self.is_mutating = False

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection, for one request."""
        async with stream:
            headers = await receive_head(stream)
            if headers is None:
                return
            call_id = headers.get("request-id", "")
            body = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
            response = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {call_id}\r\n"
                "Response-Stamp: s\r\nWeight-Versions: 1\r\n"
                "Instance-Load: 1,0,8\r\nContent-Type: text/event-stream\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode("latin-1") + body
            if self.is_mutating:
                response = mutate(response, self._rng)
            with suppress(trio.BrokenResourceError):
                await stream.send_all(response)


Feed = Callable[[RelayGateway, FuzzedSampler, Random], Awaitable[None]]


async def send_head(
    gateway: RelayGateway, sampler: FuzzedSampler, rng: Random
) -> None:
    """Send a mutated request."""
    await _send_raw(gateway, mutate(_make_head(rng), rng))


async def send_submission(
    gateway: RelayGateway, sampler: FuzzedSampler, rng: Random
) -> None:
    """Send a mutated submission."""
    await _send_raw(gateway, _make_submission(rng))


async def write_entry(
    gateway: RelayGateway, sampler: FuzzedSampler, rng: Random
) -> None:
    """Write a mutated entry to the store."""
    prefix = rng.choice(PREFIXES)
    store = gateway.fleet.store
    values = [i.value for k, i in store.items.items() if k.startswith(prefix)]
    value = rng.choice(values) if values else b'{"life":"x","peer":"h:1"}'
    try:
        decoded = mutate_json(json.loads(value), rng)
    except ValueError:
        decoded = None
    if prefix == "op/config" and isinstance(decoded, dict):
        # A newer version would replace the routes of the plain call.
        decoded["version"] = 0
    if isinstance(decoded, dict) and rng.random() < 0.6:
        value = json.dumps(decoded).encode()
    elif prefix != "op/config":
        value = mutate(value, rng)
    suffix = rng.choice(("i-9", "\u0101", "a b", "x" * 150))
    key = prefix + suffix if prefix == "servers/" else prefix
    store.write(key, value, 0, trio.current_time())
    await trio.sleep(0.05)


async def mutate_response(
    gateway: RelayGateway, sampler: FuzzedSampler, rng: Random
) -> None:
    """Have a sampler answer a call with mutated bytes."""
    sampler.is_mutating = True
    await send(gateway, rng.choice((SAFE, UNSAFE, RESUMABLE)), "sent")
    sampler.is_mutating = False


FEEDS: dict[str, Feed] = {
    "heads and bodies of requests": send_head,
    "submissions": send_submission,
    "entries of the store": write_entry,
    "responses of samplers": mutate_response,
}


def run_seed(name: str, seed: int) -> list[str]:
    """Feed a gateway; return what is wrong. Raises what ended it."""
    return trio.run(_run_seed, name, Random(seed))


async def _run_seed(name: str, rng: Random) -> list[str]:
    """Feed one gateway with some inputs, each followed by a plain call."""
    # An instance that sent wrong bytes gets no calls for a while.
    expected = (200, 503) if name == "responses of samplers" else (200,)
    sampler = FuzzedSampler(rng)
    contained = contained_errors.copy()
    async with run_gateway([sampler.handle]) as gateway:
        while (await send(gateway, SAFE, "first")).status != 200:
            await trio.sleep(READ_S)
        for number in range(INPUTS_PER_SEED):
            await FEEDS[name](gateway, sampler, rng)
            got = await send(gateway, SAFE, f"plain-{number}")
            if got.status not in expected:
                return [f"input {number}: {got}"]
    if name == "entries of the store":
        # What isn't valid there is left to the boundary.
        return []
    found = contained_errors - contained
    return [f"errors that nobody foresaw: {found}"] if found else []
