"""Support what samplers answer byte by byte, good and bad."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from pistachiospar.adapters.http.client import Address
from pistachiospar.platform.samplers import PlatformSamplers
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.ports.upstream import UpstreamError
from pistachiospar.ports.upstream import UpstreamNotSentError
from pistachiospar.routing.instances import ListedInstance
import trio

from .kv_contract import serve_loopback

LIMIT_S = 10.0


def frame(
    call_id: str, body: bytes, status: str = "200 OK", extra: str = ""
) -> bytes:
    """Return a whole answer with a length."""
    head = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {call_id}\r\n"
        f"Response-Stamp: s\r\nWeight-Versions: 4\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def chunk(*parts: bytes, end: bool = True) -> bytes:
    """Return a stream's head and chunks, with or without its end."""
    head = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nResponse-Stamp: s\r\n"
        b"Weight-Versions: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    return head + body + (b"0\r\n\r\n" if end else b"")


UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: c1\r\nResponse-Stamp: s\r\n\r\n"
TWO_EVENTS = (b"id: 1\ndata: a\n\nid: 2\nda", b"ta: b\n\n")
CHANGED = (b"id: 1\ndata: a\n\n", b"weight-versions: 5\nid: 2\ndata: b\n\n")


@dataclass(frozen=True, slots=True)
class AnswerCase:
    """Hold what a sampler sends on its connections, and what is expected.

    `reset` ends a connection with a reset; `calls` are made one after the
    other, on kept connections where that is safe.
    """

    answers: tuple[bytes, ...]
    expected: list[str]
    connections: int = 1
    reset: bool = False
    close: bool = False
    calls: int = 1
    stream: bool = False


CASES: dict[str, AnswerCase] = {
    "a whole answer": AnswerCase((frame("c1", b"ok"),), ["200 ok"]),
    "two answers on a kept connection": AnswerCase(
        (frame("c1", b"ok"), frame("c2", b"too")),
        ["200 ok", "200 too"],
        calls=2,
    ),
    "an extra answer follows at once": AnswerCase(
        (frame("c1", b"ok") + frame("c1", b"again"), frame("c2", b"too")),
        ["200 ok", "200 too"],
        connections=2,
        calls=2,
    ),
    "another request's answer comes instead": AnswerCase(
        (frame("other", b"not yours"),), ["may have run"]
    ),
    "a body is cut short": AnswerCase(
        (frame("c1", b"whole")[:-2],), ["may have run"], close=True
    ),
    "an answer without length ends": AnswerCase(
        (UNFRAMED + b"all",), ["200 all"], close=True
    ),
    "an answer without length is reset": AnswerCase(
        (UNFRAMED + b"some",), ["may have run"], reset=True
    ),
    "bytes that are no answer": AnswerCase(
        (b"\x00\x01garbage\r\n\r\n",), ["may have run"], close=True
    ),
    "another instance has the address": AnswerCase(
        (frame("c1", b"", "421 Misdirected"),), ["not run"]
    ),
    "a full instance": AnswerCase(
        (frame("c1", b"", "503 Full", "Not-Executed: 1\r\n"),), ["not run"]
    ),
    "an instance's own error": AnswerCase(
        (frame("c1", b"no", "500 Error"),), ["500 no"]
    ),
    "a stream": AnswerCase(
        (chunk(*TWO_EVENTS),), ["4: 1 a", "2 b", "end"], stream=True
    ),
    "a stream whose weights change": AnswerCase(
        (chunk(*CHANGED),), ["4: 1 a", "2 b of 5", "end"], stream=True
    ),
    "a stream is cut within an event": AnswerCase(
        (chunk(TWO_EVENTS[0], end=False),),
        ["4: 1 a", "may have run"],
        close=True,
        stream=True,
    ),
    "a stream ends within an event": AnswerCase(
        (chunk(TWO_EVENTS[0]),), ["4: 1 a", "may have run"], stream=True
    ),
    "nobody listens": AnswerCase((), ["not sent"], connections=0),
}


@dataclass(slots=True)
class RawSampler:
    """Answer each request with the next canned bytes."""

    case: AnswerCase
    connections: int = 0
    served: int = 0
    requests: list[bytes] = field(default_factory=list)

    async def handle(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        async with stream:
            async for data in stream:
                self.requests.append(bytes(data))
                if self.served >= len(self.case.answers):
                    return
                answer = self.case.answers[self.served]
                self.served += 1
                await stream.send_all(answer)
                if self.case.reset:
                    await trio.sleep(0.02)
                    _reset(stream)
                    return
                if self.case.close:
                    return


def _reset(stream: trio.SocketStream) -> None:
    """Let the connection end with a reset."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
    stream.socket.close()


def run_case(name: str) -> tuple[list[str], int, RawSampler]:
    """Make the calls of a case; return what came and the connections."""
    case = CASES[name]
    sampler = RawSampler(case)

    async def work() -> list[str]:
        with trio.fail_after(LIMIT_S):
            async with serve_loopback(sampler.handle) as address:
                if not case.connections:
                    address = Address("127.0.0.1", 1)
                return await _call_all(case, address)

    return trio.run(work), sampler.connections, sampler


async def _call_all(case: AnswerCase, address: Address) -> list[str]:
    """Make the calls of a case."""
    samplers = PlatformSamplers()
    instance = ListedInstance("i-1", "app", address, "zone", 8, False)
    ask: Callable[..., Awaitable[list[str]]]
    ask = _read_stream if case.stream else _read_whole
    found: list[str] = []
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
            found += await ask(samplers, instance, call)
        except UpstreamNotSentError:
            found.append("not sent")
        except UpstreamError:
            found.append("may have run")
        await trio.sleep(0.02)
    return found


async def _read_whole(
    samplers: PlatformSamplers, instance: ListedInstance, call: SamplerCall
) -> list[str]:
    """Read a whole answer."""
    async with samplers.call(instance, call) as answer:
        body = await answer.read_body()
        if answer.not_run:
            return ["not run"]
        return [f"{answer.status} {body.decode()}"]


async def _read_stream(
    samplers: PlatformSamplers, instance: ListedInstance, call: SamplerCall
) -> list[str]:
    """Read a stream; what came before a fault counts."""
    found: list[str] = []
    async with samplers.call(instance, call) as answer:
        try:
            async for event in answer.iter_events():
                text = f"{event.number} {event.data}"
                if event.version is not None:
                    text += f" of {event.version}"
                found.append(text)
            found.append("end")
        except UpstreamError:
            found.append("may have run")
        found[0] = f"{answer.version}: {found[0]}"
    return found
