"""In-memory fake of the link to a sidecar, with injected faults."""

from collections.abc import AsyncIterator
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

from pistachiospar.adapters.sidecar_link.server import dispatch_control
from pistachiospar.link.const import CONTROL_TIMEOUT_S
from pistachiospar.link.errors import LinkLostError
from pistachiospar.link.errors import LinkNotSentError
from pistachiospar.link.messages import Answered
from pistachiospar.link.messages import BundlePull
from pistachiospar.link.messages import BundlePush
from pistachiospar.link.messages import ControlReply
from pistachiospar.link.messages import ControlRequest
from pistachiospar.link.messages import RunOrder
from pistachiospar.link.messages import RunReply
from pistachiospar.link.messages import Settlement
from pistachiospar.link.messages import SettleOrder
from pistachiospar.link.messages import Status
from pistachiospar.link.reply_types import expect_bundle
from pistachiospar.link.reply_types import expect_settlement
from pistachiospar.link.reply_types import expect_status
from pistachiospar.sidecar.coordinator import SidecarCoordinator
from result import Err
from result import Ok
from result import Result
import trio


class FaultPoint(Enum):
    """The point of a run order at which a fault occurs."""

    REFUSED = "refused"
    BEFORE_DISPATCH = "before dispatch"
    LATE_COPY = "late copy"
    AFTER_DISPATCH = "after dispatch"
    MID_RESPONSE = "mid answer"
    BEFORE_RESPONSE_END = "after answer"


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault of one run order; a silent one hangs instead of failing.

    `after_s` is the delay of a fault after dispatch, in seconds.
    """

    point: FaultPoint
    silent: bool = False
    after_s: float = 0.03


class SidecarHost:
    """The host of one sidecar, which may be killed and restarted.

    With `control_silent` set, control requests get no reply. `latency_s` is
    the one-way latency in seconds.
    """

    def __init__(self, name: str) -> None:
        """Create a host without a running sidecar."""
        self.name = name
        self.coordinator: SidecarCoordinator | None = None
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.control_silent = False
        self.latency_s = 0.001


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of a response, with its weight versions."""

    versions: list[int]


class MemorySink:
    """A sink that sends a response over a memory channel."""

    def __init__(self, sender: trio.MemorySendChannel) -> None:
        """Send to the given channel."""
        self._sender = sender

    async def start(self, reply: RunReply) -> None:
        """Send the head of the response."""
        await self._sender.send(reply)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        await self._sender.send(chunk)

    async def finish(self, versions: list[int]) -> None:
        """End the body."""
        await self._sender.send(ResponseEnd(versions))


class MemoryRunStream:
    """A response read from a memory channel, with the link's fault."""

    def __init__(
        self,
        reply: RunReply,
        receiver: trio.MemoryReceiveChannel,
        fault: LinkFault | None,
    ) -> None:
        """Create a stream whose head was already received."""
        self.reply = reply
        self._receiver = receiver
        self._fault = fault
        self._versions: list[int] = []

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises LinkLostError when it is truncated."""
        while True:
            try:
                item = await self._receiver.receive()
            except trio.EndOfChannel as error:
                raise LinkLostError(
                    "connection closed within the body"
                ) from error
            if isinstance(item, ResponseEnd):
                await self._inject_fault_at(FaultPoint.BEFORE_RESPONSE_END)
                self._versions = item.versions
                return
            yield item
            await self._inject_fault_at(FaultPoint.MID_RESPONSE)

    def read_final_versions(self) -> list[int]:
        """Return the weight versions, complete once the body is read."""
        if self._versions or not isinstance(self.reply, Answered):
            return self._versions
        return list(self.reply.versions)

    async def _inject_fault_at(self, point: FaultPoint) -> None:
        """Inject the fault if it is due at this point."""
        if self._fault is not None and self._fault.point is point:
            await inject_fault(self._fault)


async def inject_fault(fault: LinkFault) -> None:
    """Raise LinkLostError, or hang forever for a silent fault."""
    if fault.silent:
        await trio.sleep_forever()
    raise LinkLostError(f"connection lost: {fault.point.value}")


class MemoryLink:
    """A link to a sidecar in memory; each run order consumes one fault."""

    def __init__(self, host: SidecarHost) -> None:
        """Connect to the host's current sidecar, if one runs."""
        self._host = host
        self.faults: deque[LinkFault] = deque()
        self.closed = False

    @asynccontextmanager
    async def run(
        self, order: RunOrder, body: bytes
    ) -> AsyncIterator[MemoryRunStream]:
        """Run an order; raises LinkNotSentError or LinkLostError."""
        fault = self.faults.popleft() if self.faults else None
        await trio.sleep(self._host.latency_s)
        coordinator, nursery = self._host.coordinator, self._host.nursery
        refused = fault is not None and fault.point is FaultPoint.REFUSED
        if coordinator is None or nursery is None or self.closed or refused:
            raise LinkNotSentError("connection refused")
        if fault is not None and fault.point is FaultPoint.BEFORE_DISPATCH:
            await inject_fault(fault)
        sender, receiver = trio.open_memory_channel[object](16)
        scope = trio.CancelScope()
        if fault is not None and fault.point is FaultPoint.LATE_COPY:
            nursery.start_soon(
                _deliver_order, coordinator, order, body, sender, scope, 0.5
            )
            await inject_fault(fault)
        nursery.start_soon(
            _deliver_order, coordinator, order, body, sender, scope, 0.0
        )
        try:
            reply = await self._receive_head(receiver, fault)
            await trio.sleep(self._host.latency_s)
            yield MemoryRunStream(reply, receiver, fault)
        finally:
            scope.cancel()
            receiver.close()

    async def _receive_head(
        self,
        receiver: trio.MemoryReceiveChannel,
        fault: LinkFault | None,
    ) -> RunReply:
        """Return the head of the response; raises LinkLostError."""
        fails_here = (
            fault is not None and fault.point is FaultPoint.AFTER_DISPATCH
        )
        if fault is not None and fails_here:
            await trio.sleep(fault.after_s)
            await inject_fault(fault)
        try:
            return await receiver.receive()
        except trio.EndOfChannel as error:
            raise LinkLostError(
                "connection closed before the response"
            ) from error

    async def send_control(
        self, request: ControlRequest
    ) -> Result[Status, str]:
        """Send a heartbeat or a bundle; an Err after the control timeout."""
        reply = await self._exchange_control(request)
        return expect_status(reply)

    async def pull_bundle(self, epoch: int) -> Result[BundlePush, str]:
        """Return the sidecar's bundle and its key changes after `epoch`."""
        reply = await self._exchange_control(BundlePull(epoch))
        return expect_bundle(reply)

    async def settle(self, order: SettleOrder) -> Result[Settlement, str]:
        """Query the outcome of a request over a new connection."""
        reply = await self._exchange_control(order)
        return expect_settlement(reply)

    def close(self) -> None:
        """Close the link; later requests fail."""
        self.closed = True

    async def _exchange_control(
        self, request: ControlRequest
    ) -> Result[ControlReply, str]:
        """Exchange control messages; an Err when no reply comes in time."""
        await trio.sleep(2 * self._host.latency_s)
        coordinator = self._host.coordinator
        if coordinator is None or self.closed or self._host.control_silent:
            await trio.sleep(CONTROL_TIMEOUT_S)
            return Err("no reply")
        return Ok(dispatch_control(coordinator, request, trio.current_time()))


async def _deliver_order(
    coordinator: SidecarCoordinator,
    order: RunOrder,
    body: bytes,
    sender: trio.MemorySendChannel,
    scope: trio.CancelScope,
    delay_s: float,
) -> None:
    """Run an order at the sidecar, as the task of a connection does.

    A delayed order outlives the link's `scope`: it arrives after the entry
    has given up on it.
    """
    try:
        with scope if not delay_s else trio.CancelScope():
            await trio.sleep(delay_s)
            await coordinator.run_order(order, body, MemorySink(sender))
    except trio.BrokenResourceError:
        pass
    finally:
        sender.close()
