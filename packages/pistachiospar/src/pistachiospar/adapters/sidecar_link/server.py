"""The sidecar's side of the link to the entries."""

from result import Err
import trio

from ...link.codec import decode_control_request
from ...link.codec import decode_order
from ...link.codec import encode_header
from ...link.codec import encode_message
from ...link.const import HEADER_ORDER
from ...link.const import HEADER_REPLY
from ...link.const import PATH_RUN
from ...link.const import PATH_WEIGHTS
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
from ..http.address import Address
from ..http.exchange import Exchange
from ..http.models import HttpRequest
from .control import FrameError
from .control import FrameStream


class HttpRunResponseSink:
    """Response to one run order over HTTP."""

    def __init__(self, exchange: Exchange) -> None:
        """Wrap an exchange whose response has not been started."""
        self._exchange = exchange

    async def start(self, reply: RunReply) -> None:
        """Prepare the head, which is sent with the first chunk."""
        headers = [
            (HEADER_REPLY, encode_header(reply)),
            ("Transfer-Encoding", "chunked"),
        ]
        self._exchange.defer_start(const.HTTP_OK, headers)

    async def write(self, chunk: bytes) -> None:
        """Send one chunk of the body; empty ones are skipped."""
        if chunk:
            await self._exchange.write(chunk)

    async def finish(self, versions: list[int]) -> None:
        """End the body; a trailer lists the weight versions that made it."""
        text = ",".join(str(version) for version in versions)
        trailers = [(const.TRAILER_VERSIONS, text)] if text else []
        await self._exchange.finish(trailers)


class SidecarHandler:
    """HTTP handler of run orders and of weight downloads."""

    def __init__(self, coordinator: SidecarCoordinator) -> None:
        """Serve requests with a coordinator."""
        self._coordinator = coordinator

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request of an entry, another sidecar or the engine."""
        if request.path.startswith(PATH_WEIGHTS):
            await self._send_weights(request, exchange)
            return
        if request.path != PATH_RUN:
            await exchange.send_response(const.HTTP_NOT_FOUND, [], b"")
            return
        order = decode_order(request.headers.get(HEADER_ORDER, ""))
        if isinstance(order, Err):
            detail = order.err_value.encode()
            await exchange.send_response(const.HTTP_BAD_REQUEST, [], detail)
            return
        sink = HttpRunResponseSink(exchange)
        await self._coordinator.run_order(order.ok_value, request.body, sink)

    async def _send_weights(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        """Send cached weights to another sidecar or to the engine."""
        relay = self._coordinator.relay
        name = request.path.removeprefix(PATH_WEIGHTS)
        data = relay.find_weights(name) if relay is not None else None
        if data is None:
            await exchange.send_response(const.HTTP_NOT_FOUND, [], b"")
            return
        self._coordinator.metrics.count("weights_handed_on")
        await exchange.send_response(const.HTTP_OK, [], data)


def dispatch_control(
    coordinator: SidecarCoordinator, request: ControlRequest, now: float
) -> ControlReply:
    """Pass a control request to the coordinator; return its reply."""
    match request:
        case Heartbeat():
            return coordinator.handle_heartbeat(request, now)
        case BundlePull(epoch):
            return BundlePush(
                coordinator.keeper.collect_envelopes_after(epoch)
            )
        case BundlePush():
            return coordinator.push_bundle(request, now)
        case ReclaimOrder():
            return coordinator.reclaim_samples(request, now)
        case SettleOrder():
            return coordinator.settle(request, now)


class ControlHandler:
    """Server of the control channel; one task per connection."""

    def __init__(self, coordinator: SidecarCoordinator) -> None:
        """Serve requests with a coordinator."""
        self._coordinator = coordinator

    async def handle_connection(self, stream: trio.abc.Stream) -> None:
        """Reply to requests until the entry closes or sends a bad frame."""
        frames = FrameStream(stream)
        try:
            while True:
                request = decode_control_request(await frames.receive_frame())
                if isinstance(request, Err):
                    self._coordinator.metrics.count("control_unreadable")
                    return
                reply = dispatch_control(
                    self._coordinator, request.ok_value, trio.current_time()
                )
                await frames.send_frame(encode_message(reply))
        except (
            FrameError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            return
        finally:
            await trio.aclose_forcefully(stream)


async def serve_control(
    coordinator: SidecarCoordinator,
    address: Address,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the control channel until cancelled.

    Raises OSError when the address can't be bound.
    """
    listeners = await trio.open_tcp_listeners(
        address.port, host=address.host, backlog=const.LISTEN_BACKLOG
    )
    task_status.started()
    handler = ControlHandler(coordinator)
    await trio.serve_listeners(handler.handle_connection, listeners)
