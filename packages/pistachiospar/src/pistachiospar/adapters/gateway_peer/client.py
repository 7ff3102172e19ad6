"""HTTP client of the other gateways."""

from urllib.parse import quote

import msgspec
import trio

from ...helpers.decoding import DECODE_ERRORS
from ...kv_access.messages import KvCall
from ...kv_access.messages import KvReply
from ...kv_access.messages import PollCall
from ...limits.const import PERMIT_TIMEOUT_S
from ...limits.messages import PermitCall
from ...limits.messages import PermitReply
from ...ports.kv import KvFault
from ...ports.peer_permits import PeerFailure
from ...stream_origins.const import PEER_TIMEOUT_S
from ...stream_origins.messages import FindOriginCall
from ...stream_origins.messages import FindOriginReply
from ...stream_origins.messages import StreamOrigin
from ...submissions.models import ResultPage
from ...usage.const import SEND_TIMEOUT_S
from ...usage.messages import CountsMessage
from ...usage.messages import CountsReceipt
from ...watch_relay.const import REPLY_MARGIN_S
from ...watch_relay.messages import FollowCall
from ...watch_relay.messages import FollowReply
from . import const
from ..http.address import parse_address
from ..http.client import HttpPool
from ..http.errors import ConnectError
from ..http.errors import ConnectTimeoutError
from ..http.errors import HttpError


class HttpGatewayPeer:
    """Client of the other gateways, by address."""

    def __init__(self) -> None:
        """Create a client; connections are opened when they are needed."""
        self._pools: dict[str, HttpPool] = {}

    async def call_kv(self, address: str, call: KvCall) -> KvReply | None:
        """Let a peer execute a key-value call; None when it can't be reached.

        Without a readable reply the outcome is unknown.
        """
        timeout_s = const.KV_CALL_TIMEOUT_S
        if isinstance(call, PollCall):
            timeout_s += call.wait_s
        body = msgspec.msgpack.encode(call)
        try:
            with trio.fail_after(timeout_s):
                response = await self._get_pool(address).fetch(
                    "POST", const.PATH_KV, body=body
                )
            if response.status != 200:
                return _make_unknown(f"status {response.status}")
            return msgspec.msgpack.decode(response.body, type=KvReply)
        except ConnectError:
            return None
        except (HttpError, trio.TooSlowError, *DECODE_ERRORS) as error:
            return _make_unknown(repr(error))

    async def follow(
        self, address: str, call: FollowCall
    ) -> FollowReply | None:
        """Wait for changes at a gateway; None when it is no source."""
        body = msgspec.msgpack.encode(call)
        try:
            with trio.fail_after(call.wait_s + REPLY_MARGIN_S):
                response = await self._get_pool(address).fetch(
                    "POST", const.PATH_FOLLOW, body=body
                )
            if response.status != 200:
                return None
            return msgspec.msgpack.decode(response.body, type=FollowReply)
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError):
            return None

    async def acquire_permit(
        self, address: str, call: PermitCall
    ) -> PermitReply | PeerFailure:
        """Ask a gateway for a permit.

        One that doesn't know of permits can't reply, as if it were gone.
        """
        body = msgspec.msgpack.encode(call)
        try:
            with trio.fail_after(PERMIT_TIMEOUT_S):
                response = await self._get_pool(address).fetch(
                    "POST", const.PATH_PERMIT, body=body
                )
            if response.status != 200:
                return PeerFailure.GONE
            return msgspec.msgpack.decode(response.body, type=PermitReply)
        except (trio.TooSlowError, ConnectTimeoutError):
            return PeerFailure.SILENT
        except (HttpError, msgspec.MsgspecError):
            return PeerFailure.GONE

    async def copy_origins(
        self, address: str, origins: list[StreamOrigin]
    ) -> bool:
        """Store origins at a gateway; return whether it confirmed that."""
        body = msgspec.msgpack.encode(origins)
        try:
            with trio.fail_after(PEER_TIMEOUT_S):
                response = await self._get_pool(address).fetch(
                    "POST", const.PATH_COPY_ORIGINS, body=body
                )
        except (HttpError, trio.TooSlowError):
            return False
        return response.status == 200

    async def find_origin(
        self, address: str, call: FindOriginCall
    ) -> FindOriginReply | None:
        """Ask a gateway for an origin; None when it fails to reply."""
        body = msgspec.msgpack.encode(call)
        try:
            with trio.fail_after(PEER_TIMEOUT_S):
                response = await self._get_pool(address).fetch(
                    "POST", const.PATH_FIND_ORIGIN, body=body
                )
            if response.status != 200:
                return None
            return msgspec.msgpack.decode(response.body, type=FindOriginReply)
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError):
            return None

    async def send_counts(
        self, address: str, message: CountsMessage
    ) -> CountsReceipt | None:
        """Send counts; None when the gateway fails to reply."""
        body = msgspec.msgpack.encode(message)
        try:
            with trio.fail_after(SEND_TIMEOUT_S):
                response = await self._get_pool(address).fetch(
                    "POST", const.PATH_USAGE_COUNTS, body=body
                )
            if response.status != 200:
                return None
            return msgspec.msgpack.decode(response.body, type=CountsReceipt)
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError):
            return None

    async def fetch_results(
        self,
        address: str,
        submission: str,
        after: int,
        wait_s: float,
        organisation: str | None,
    ) -> ResultPage | None:
        """Return the results of a submission that a peer holds.

        The peer waits up to `wait_s` for results after `after`. None means
        that it failed to reply or doesn't hold a submission of the
        organisation.
        """
        name = quote(submission, safe="")
        wait_ms = int(wait_s * 1000)
        target = f"{const.PATH_RESULTS}{name}?after={after}&wait_ms={wait_ms}"
        if organisation is not None:
            target += "&organisation=" + quote(organisation, safe="")
        try:
            with trio.fail_after(wait_s + const.RESPONSE_MARGIN_S):
                response = await self._get_pool(address).fetch("GET", target)
            if response.status != 200:
                return None
            return msgspec.msgpack.decode(response.body, type=ResultPage)
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError):
            return None

    def _get_pool(self, address: str) -> HttpPool:
        """Return the connection pool of an address."""
        if address not in self._pools:
            self._pools[address] = HttpPool(
                parse_address(address), const.CONNECT_TIMEOUT_S
            )
        return self._pools[address]


def _make_unknown(detail: str) -> KvReply:
    """Return the reply for a call that a peer may have executed."""
    return KvReply(fault=KvFault.UNKNOWN, detail=f"peer: {detail}")
