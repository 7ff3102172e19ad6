"""Support the link port in memory: a sidecar reached without a network."""

from collections.abc import AsyncIterator
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

from pistachiospar.adapters.sidecar_link.server import dispatch_control
from pistachiospar.link.const import CONTROL_TIMEOUT_S
from pistachiospar.link.errors import LinkLostError
from pistachiospar.link.errors import LinkNotSentError
from pistachiospar.link.expect import expect_bundle
from pistachiospar.link.expect import expect_settlement
from pistachiospar.link.expect import expect_status
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
from pistachiospar.sidecar.coordinator import SidecarCoordinator
from result import Err
from result import Ok
from result import Result
import trio


class Moment(Enum):
    """Tell when a fault strikes a run order."""

    REFUSED = "refused"
    BEFORE_DISPATCH = "before dispatch"
    LATE_COPY = "late copy"
    AFTER_DISPATCH = "after dispatch"
    MID_ANSWER = "mid answer"
    BEFORE_END = "after answer"


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Describe one fault; a silent one hangs instead of failing."""

    moment: Moment
    silent: bool = False
    after_s: float = 0.03


class SidecarHost:
    """Run one sidecar; it can be killed, paused and started anew."""

    def __init__(self, name: str) -> None:
        """Begin with nothing running."""
        self.name = name
        self.coordinator: SidecarCoordinator | None = None
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.control_silent = False
        self.latency_s = 0.001


@dataclass(frozen=True, slots=True)
class End:
    """End an answer."""

    versions: list[int]


class MemorySink:
    """Hand an answer over in memory."""

    def __init__(self, sender: trio.MemorySendChannel) -> None:
        """Take the channel."""
        self._sender = sender

    async def start(self, reply: RunReply) -> None:
        """Send the head of the answer."""
        await self._sender.send(reply)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        await self._sender.send(chunk)

    async def finish(self, versions: list[int]) -> None:
        """End the body."""
        await self._sender.send(End(versions))


class MemoryRunStream:
    """Read an answer from memory, with the faults of the link."""

    def __init__(
        self,
        reply: RunReply,
        receiver: trio.MemoryReceiveChannel,
        fault: LinkFault | None,
    ) -> None:
        """Take the head."""
        self.reply = reply
        self._receiver = receiver
        self._fault = fault
        self._versions: list[int] = []

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises LinkLostError when it is cut short."""
        while True:
            try:
                item = await self._receiver.receive()
            except trio.EndOfChannel as error:
                raise LinkLostError("closed within the body") from error
            if isinstance(item, End):
                await self._strike(Moment.BEFORE_END)
                self._versions = item.versions
                return
            yield item
            await self._strike(Moment.MID_ANSWER)

    def read_final_versions(self) -> list[int]:
        """Return the weight versions known once the body is read."""
        if self._versions or not isinstance(self.reply, Answered):
            return self._versions
        return list(self.reply.versions)

    async def _strike(self, moment: Moment) -> None:
        """Fail or hang at the fault's moment."""
        if self._fault is not None and self._fault.moment is moment:
            await strike(self._fault)


async def strike(fault: LinkFault) -> None:
    """Fail, or hang for good."""
    if fault.silent:
        await trio.sleep_forever()
    raise LinkLostError(f"cut {fault.moment.value}")


class MemoryLink:
    """Reach a sidecar in memory; faults are used up in turn."""

    def __init__(self, host: SidecarHost) -> None:
        """Take the sidecar's host."""
        self._host = host
        self.faults: deque[LinkFault] = deque()
        self.cut = False

    @asynccontextmanager
    async def run(
        self, order: RunOrder, body: bytes
    ) -> AsyncIterator[MemoryRunStream]:
        """Run an order; raises LinkNotSentError and LinkLostError."""
        fault = self.faults.popleft() if self.faults else None
        await trio.sleep(self._host.latency_s)
        coordinator, nursery = self._host.coordinator, self._host.nursery
        refused = fault is not None and fault.moment is Moment.REFUSED
        if coordinator is None or nursery is None or self.cut or refused:
            raise LinkNotSentError("connection refused")
        if fault is not None and fault.moment is Moment.BEFORE_DISPATCH:
            await strike(fault)
        sender, receiver = trio.open_memory_channel[object](16)
        scope = trio.CancelScope()
        if fault is not None and fault.moment is Moment.LATE_COPY:
            nursery.start_soon(
                _deliver, coordinator, order, body, sender, scope, 0.5
            )
            await strike(fault)
        nursery.start_soon(
            _deliver, coordinator, order, body, sender, scope, 0.0
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
        """Return the head of the answer; raises LinkLostError."""
        strikes = fault is not None and fault.moment is Moment.AFTER_DISPATCH
        if fault is not None and strikes:
            await trio.sleep(fault.after_s)
            await strike(fault)
        try:
            return await receiver.receive()
        except trio.EndOfChannel as error:
            raise LinkLostError("closed before the answer") from error

    async def send_control(
        self, request: ControlRequest
    ) -> Result[Status, str]:
        """Send a heartbeat or a bundle within the control timeout."""
        reply = await self._control(request)
        return expect_status(reply)

    async def pull_bundle(self, epoch: int) -> Result[BundlePush, str]:
        """Return the sidecar's bundle and the key changes after an epoch."""
        reply = await self._control(BundlePull(epoch))
        return expect_bundle(reply)

    async def settle(self, order: SettleOrder) -> Result[Settlement, str]:
        """Ask over a fresh link what became of a request."""
        reply = await self._control(order)
        return expect_settlement(reply)

    def close(self) -> None:
        """Close all connections."""
        self.cut = True

    async def _control(
        self, request: ControlRequest
    ) -> Result[ControlReply, str]:
        """Exchange control messages."""
        await trio.sleep(2 * self._host.latency_s)
        coordinator = self._host.coordinator
        if coordinator is None or self.cut or self._host.control_silent:
            await trio.sleep(CONTROL_TIMEOUT_S)
            return Err("no answer")
        return Ok(dispatch_control(coordinator, request, trio.current_time()))


async def _deliver(
    coordinator: SidecarCoordinator,
    order: RunOrder,
    body: bytes,
    sender: trio.MemorySendChannel,
    scope: trio.CancelScope,
    delay_s: float,
) -> None:
    """Run an order at the sidecar, as its connection's task would."""
    try:
        with scope if not delay_s else trio.CancelScope():
            await trio.sleep(delay_s)
            await coordinator.run_order(order, body, MemorySink(sender))
    except trio.BrokenResourceError:
        pass
    finally:
        sender.close()
