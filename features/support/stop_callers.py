"""Callers of gateways that stop, until their processes have ended."""

from collections.abc import Callable

import h11
from pistachiospar.adapters.http.address import Address
from pistachiospar.platform.callers import encode_submission
import trio

from .histories import make_history
from .stop_models import Attempt
from .stop_models import Stop

HOST = "host.example"
UNSAFE, STREAM, ROLLOUT = "/once/", "/stream/", "/rollout/"
# Beside other load, a process gets its turn this much later.
CONNECT_TIMEOUT_S = 1.0


class StopCallers:
    """All callers of some gateways; their attempts are kept in a Stop."""

    def __init__(
        self,
        stop: Stop,
        stop_at: float,
        addresses: dict[str, Address],
        is_over: Callable[[str], bool],
    ) -> None:
        """Call gateways by name; `is_over` tells whether one has ended."""
        self._stop = stop
        self._stop_at = stop_at
        self._addresses = addresses
        self._is_over = is_over
        self._number = 0

    def start(self, nursery: trio.Nursery, name: str) -> None:
        """Call a gateway in many ways until its process has ended."""
        for work_ms in (300, 1500):
            nursery.start_soon(self._call_anew, name, work_ms)
            nursery.start_soon(self._call_kept, name, work_ms)
        nursery.start_soon(self._read_steps, name)
        for begin_s in (-0.5, 0.5, 1.5, 2.3):
            nursery.start_soon(self._call_at, name, begin_s, 9000, 0.0)
            nursery.start_soon(self._submit_at, name, begin_s)
            for work_ms in (1000, 9000):
                nursery.start_soon(self._stream_at, name, begin_s, work_ms)
            for body_s in (0.5, 1.5, 2.5):
                nursery.start_soon(self._call_at, name, begin_s, 1000, body_s)

    async def _call_anew(self, name: str, work_ms: int) -> None:
        """Make calls on new connections."""
        async with trio.open_nursery() as nursery:
            while not self._is_over(name):
                nursery.start_soon(self._call, name, f"{UNSAFE}{work_ms}")
                await trio.sleep(1.0 / self._stop.calls_per_s)

    async def _call_kept(self, name: str, work_ms: int) -> None:
        """Make one call after the other on a kept connection."""
        while not self._is_over(name):
            connection = await self._connect(name)
            if connection is None:
                await trio.sleep(0.05)
                continue
            async with connection.stream:
                while await self._exchange(
                    connection, "kept", "POST", f"{UNSAFE}{work_ms}"
                ):
                    await trio.sleep(0.05)

    async def _call(
        self,
        name: str,
        path: str,
        method: str = "POST",
        body: bytes = b"body",
        body_s: float = 0.0,
        kind: str = "new",
        call_id: str = "",
    ) -> None:
        """Make one call on a new connection."""
        connection = await self._connect(name)
        if connection is None:
            return
        async with connection.stream:
            await self._exchange(
                connection, kind, method, path, body, body_s, call_id
            )

    async def _call_at(
        self, name: str, begin_s: float, work_ms: int, body_s: float
    ) -> None:
        """Make a call whose body takes a while to arrive."""
        await trio.sleep_until(self._stop_at + begin_s)
        path = f"{UNSAFE}{work_ms}"
        kind = f"body of {body_s} s, work of {work_ms} ms"
        await self._call(name, path, "POST", b"body" * 10, body_s, kind)

    async def _stream_at(
        self, name: str, begin_s: float, work_ms: int
    ) -> None:
        """Request a stream."""
        await trio.sleep_until(self._stop_at + begin_s)
        await self._call(name, f"{STREAM}{work_ms}", kind="stream")

    async def _submit_at(self, name: str, begin_s: float) -> None:
        """Submit a step, and read its results while that can be done."""
        await trio.sleep_until(self._stop_at + begin_s)
        submission = make_history(f"{name}-{begin_s}", 3).submission
        body = encode_submission(submission)
        path = f"{ROLLOUT}m0/"
        await self._call(name, path, "POST", body, 0.0, "step", submission.id)

    async def _read_steps(self, name: str) -> None:
        """Read a step's results, each time for up to a second."""
        while not self._is_over(name):
            path = f"/lots/{name}--0.5?after=3"
            await self._call(name, path, "GET", b"", kind="read")
            await trio.sleep(0.05)

    async def _connect(self, name: str) -> "Connection | None":
        """Connect to a gateway; None when it doesn't listen."""
        address = self._addresses[name]
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError):
            return None
        return Connection(stream)

    async def _exchange(
        self,
        connection: "Connection",
        kind: str,
        method: str,
        path: str,
        body: bytes = b"body",
        body_s: float = 0.0,
        call_id: str = "",
    ) -> bool:
        """Send a request and read the answer; return whether more may follow.

        The bytes of the body come one after the other for `body_s`.
        """
        self._number += 1
        now = trio.current_time() - self._stop_at
        attempt = Attempt(kind, call_id or f"c{self._number}", now)
        self._stop.attempts.append(attempt)
        try:
            await connection.send(method, path, attempt.call_id, body, body_s)
            attempt.sent_at = trio.current_time() - self._stop_at
            may_go_on = await connection.receive(attempt)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            may_go_on = False
            attempt.is_broken = attempt.status != 0
            attempt.is_reset = not isinstance(error, h11.RemoteProtocolError)
        attempt.ended_at = trio.current_time() - self._stop_at
        return may_go_on


class Connection:
    """A caller's connection, for one request after the other."""

    def __init__(self, stream: trio.SocketStream) -> None:
        """Wrap a connected stream."""
        self.stream = stream
        self._h11 = h11.Connection(h11.CLIENT)

    async def send(
        self,
        method: str,
        path: str,
        call_id: str,
        body: bytes,
        body_s: float,
    ) -> None:
        """Send a request; its body takes `body_s` seconds."""
        headers = [
            ("Host", HOST),
            ("Request-Id", call_id),
            ("Deadline-Ms", "15000"),
            ("Wait-Ms", "1000"),
            ("Content-Length", str(len(body))),
        ]
        head = h11.Request(method=method, target=path, headers=headers)
        data = self._h11.send(head) or b""
        sent = self._h11.send(h11.Data(data=body)) or b""
        self._h11.send(h11.EndOfMessage())
        if not body_s:
            await self.stream.send_all(data + sent)
            return
        await self.stream.send_all(data)
        for position in range(len(sent)):
            await trio.sleep(body_s / len(sent))
            await self.stream.send_all(sent[position : position + 1])

    async def receive(self, attempt: Attempt) -> bool:
        """Receive the answer; return whether the connection stays open."""
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                data = bytes(await self.stream.receive_some(65536))
                self._h11.receive_data(data)
                continue
            match event:
                case h11.Response():
                    attempt.status = event.status_code
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    return False
        if self._h11.our_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True
