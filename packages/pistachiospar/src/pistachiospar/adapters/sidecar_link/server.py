"""Support the sidecar's side of the link: h11 and pynng."""

import pynng
from result import Err
import trio

from ...link.codec import decode_control_request
from ...link.codec import decode_order
from ...link.codec import encode_header
from ...link.codec import encode_message
from ...link.const import CONTROL_WORKERS
from ...link.const import HEADER_ORDER
from ...link.const import HEADER_REPLY
from ...link.const import PATH_RUN
from ...link.messages import BundlePull
from ...link.messages import BundlePush
from ...link.messages import ControlReply
from ...link.messages import ControlRequest
from ...link.messages import Heartbeat
from ...link.messages import ReclaimOrder
from ...link.messages import RunReply
from ...link.messages import SettleOrder
from ...sidecar.coordinator import SidecarCoordinator
from . import const
from ..http.client import Address
from ..http.models import HttpRequest
from ..http.server import Exchange


class HttpAnswerSink:
    """Answer one run order over HTTP."""

    def __init__(self, exchange: Exchange) -> None:
        """Begin with nothing sent."""
        self._exchange = exchange

    async def begin(self, reply: RunReply) -> None:
        """Send the head of the answer."""
        headers = [
            (HEADER_REPLY, encode_header(reply)),
            ("Transfer-Encoding", "chunked"),
        ]
        await self._exchange.start(const.HTTP_OK, headers)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        if chunk:
            await self._exchange.write(chunk)

    async def finish(self, versions: list[int]) -> None:
        """End the body, with the weight versions that took part."""
        text = ",".join(str(version) for version in versions)
        trailers = [(const.TRAILER_VERSIONS, text)] if text else []
        await self._exchange.finish(trailers)


class SidecarHandler:
    """Serve run orders."""

    def __init__(self, coordinator: SidecarCoordinator) -> None:
        """Take the coordinator."""
        self._coordinator = coordinator

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        if request.path != PATH_RUN:
            await exchange.send_whole(const.HTTP_NOT_FOUND, [], b"")
            return
        order = decode_order(request.headers.get(HEADER_ORDER, ""))
        if isinstance(order, Err):
            detail = order.err_value.encode()
            await exchange.send_whole(const.HTTP_BAD_REQUEST, [], detail)
            return
        sink = HttpAnswerSink(exchange)
        await self._coordinator.run(order.ok_value, request.body, sink)


def answer_control(
    coordinator: SidecarCoordinator, request: ControlRequest, now: float
) -> ControlReply:
    """Return the reply to one control request."""
    match request:
        case Heartbeat():
            return coordinator.beat(request, now)
        case BundlePull(epoch):
            return BundlePush(coordinator.keeper.collect_for(epoch))
        case BundlePush():
            return coordinator.push_bundle(request, now)
        case ReclaimOrder():
            return coordinator.reclaim(request, now)
        case SettleOrder():
            return coordinator.settle(request, now)


async def serve_control(
    coordinator: SidecarCoordinator,
    address: Address,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the control channel until cancelled."""
    with pynng.Rep0(
        listen=f"tcp://{address}", recv_max_size=const.CONTROL_MAX_BYTES
    ) as socket:
        async with trio.open_nursery() as nursery:
            for _ in range(CONTROL_WORKERS):
                nursery.start_soon(
                    _serve_context, coordinator, socket.new_context()
                )
            task_status.started()


async def _serve_context(
    coordinator: SidecarCoordinator, context: pynng.Context
) -> None:
    """Answer control requests one after the other."""
    while True:
        try:
            data = await context.arecv()
            request = decode_control_request(data)
            if isinstance(request, Err):
                coordinator.metrics.count("control_unreadable")
                continue
            reply = answer_control(
                coordinator, request.ok_value, trio.current_time()
            )
            await context.asend(encode_message(reply))
        except pynng.NNGException:
            coordinator.metrics.count("control_faults")
