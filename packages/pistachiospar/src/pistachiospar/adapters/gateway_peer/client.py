"""Support asking another gateway, over HTTP."""

from urllib.parse import quote

import msgspec
import trio

from ...storing.messages import KvCall
from ...storing.messages import KvReply
from ...storing.messages import PollCall
from ...submissions.models import ResultPage
from . import const
from ..http.client import HttpPool
from ..http.client import parse_address
from ..http.errors import HttpError


class HttpGatewayPeer:
    """Reach other gateways."""

    def __init__(self) -> None:
        """Begin with no connection."""
        self._pools: dict[str, HttpPool] = {}

    async def call_kv(self, address: str, call: KvCall) -> KvReply | None:
        """Have a peer make a key-value call; None when unreachable."""
        timeout_s = const.KV_TIMEOUT_S
        if isinstance(call, PollCall):
            timeout_s += call.wait_s
        body = msgspec.msgpack.encode(call)
        try:
            with trio.fail_after(timeout_s):
                answer = await self._find_pool(address).fetch(
                    "POST", const.PATH_KV, body=body
                )
            if answer.status != 200:
                return None
            return msgspec.msgpack.decode(answer.body, type=KvReply)
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError):
            return None

    async def fetch_results(
        self, address: str, submission: str, after: int, wait_s: float
    ) -> ResultPage | None:
        """Return results; None when unreachable or not known there."""
        name = quote(submission, safe="")
        wait_ms = int(wait_s * 1000)
        target = f"{const.PATH_RESULTS}{name}?after={after}&wait_ms={wait_ms}"
        try:
            with trio.fail_after(wait_s + const.SLACK_S):
                answer = await self._find_pool(address).fetch("GET", target)
            if answer.status != 200:
                return None
            return msgspec.msgpack.decode(answer.body, type=ResultPage)
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError):
            return None

    def _find_pool(self, address: str) -> HttpPool:
        """Return the connections to a gateway."""
        if address not in self._pools:
            self._pools[address] = HttpPool(
                parse_address(address), const.CONNECT_TIMEOUT_S
            )
        return self._pools[address]
