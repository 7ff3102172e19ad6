"""HTTP handler of the calls of other gateways."""

from collections.abc import Awaitable
from collections.abc import Callable
from urllib.parse import unquote

import msgspec

from ...kv_access.calls import execute_for_peer
from ...kv_access.calls import PollableKeyValue
from ...kv_access.messages import KvCall
from ...limits.messages import PermitCall
from ...limits.messages import PermitReply
from ...stream_origins.coordinator import StreamOrigins
from ...stream_origins.messages import FindOriginCall
from ...stream_origins.messages import StreamOrigin
from ...submissions.models import ResultPage
from ...usage.messages import CountsMessage
from ...usage.messages import CountsReceipt
from ...watch_relay.messages import FollowCall
from ...watch_relay.messages import FollowReply
from . import const
from ..http.exchange import Exchange
from ..http.models import HttpRequest

FollowServer = Callable[[FollowCall], Awaitable[FollowReply | None]]
LocalResultsReader = Callable[
    [str, int, float, str | None], Awaitable[ResultPage | None]
]


class GatewayPeerHandler:
    """HTTP handler of a gateway's peer port.

    It returns the results that this gateway holds, executes key-value calls
    for gateways whose own calls to the service fail, passes on what its
    watches receive, and gives out permits for instances with a limit.
    """

    def __init__(
        self,
        read_local: LocalResultsReader,
        kv: PollableKeyValue,
        is_store_lost: Callable[[], bool],
        follow: FollowServer,
        acquire_permit: Callable[[PermitCall], PermitReply],
        origins: StreamOrigins,
        receive_counts: Callable[[CountsMessage], CountsReceipt | None],
        conceal: Callable[[str, bytes], bytes],
    ) -> None:
        """Serve results of `read_local`, calls to `kv`, followers, permits.

        Also copies of `origins` and questions about them, and the counts of
        callers' calls while this gateway reports them. Calls to `kv` are
        refused while `is_store_lost` returns True; `conceal` removes secrets
        from the values that they return.
        """
        self._is_store_lost = is_store_lost
        self._read_local = read_local
        self._kv = kv
        self._follow = follow
        self._acquire_permit = acquire_permit
        self._origins = origins
        self._receive_counts = receive_counts
        self._conceal = conceal

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one call of another gateway."""
        if request.path == const.PATH_KV:
            call = msgspec.msgpack.decode(request.body, type=KvCall)
            is_lost = self._is_store_lost()
            reply = await execute_for_peer(
                self._kv, call, is_lost, self._conceal
            )
            await exchange.send_response(
                200, [], msgspec.msgpack.encode(reply)
            )
            return
        if request.path == const.PATH_FOLLOW:
            follow_call = msgspec.msgpack.decode(request.body, type=FollowCall)
            found = await self._follow(follow_call)
            status = 200 if found is not None else 404
            await exchange.send_response(
                status, [], msgspec.msgpack.encode(found)
            )
            return
        if request.path == const.PATH_PERMIT:
            permit_call = msgspec.msgpack.decode(request.body, type=PermitCall)
            permit = self._acquire_permit(permit_call)
            await exchange.send_response(
                200, [], msgspec.msgpack.encode(permit)
            )
            return
        if request.path == const.PATH_COPY_ORIGINS:
            self._origins.store_copies(
                msgspec.msgpack.decode(request.body, type=list[StreamOrigin])
            )
            await exchange.send_response(200, [], b"")
            return
        if request.path == const.PATH_FIND_ORIGIN:
            find_call = msgspec.msgpack.decode(
                request.body, type=FindOriginCall
            )
            found_origin = self._origins.serve_find(find_call)
            await exchange.send_response(
                200, [], msgspec.msgpack.encode(found_origin)
            )
            return
        if request.path == const.PATH_USAGE_COUNTS:
            counts = msgspec.msgpack.decode(request.body, type=CountsMessage)
            receipt = self._receive_counts(counts)
            status = 200 if receipt is not None else 404
            await exchange.send_response(
                status, [], msgspec.msgpack.encode(receipt)
            )
            return
        if not request.path.startswith(const.PATH_RESULTS):
            await exchange.send_response(404, [], b"")
            return
        parameters = request.parse_query()
        page = await self._read_local(
            unquote(request.path.removeprefix(const.PATH_RESULTS)),
            int(parameters.get("after", "0")),
            int(parameters.get("wait_ms", "0")) / 1000,
            parameters.get("organisation"),
        )
        if page is None:
            await exchange.send_response(404, [], b"")
            return
        await exchange.send_response(200, [], msgspec.msgpack.encode(page))
