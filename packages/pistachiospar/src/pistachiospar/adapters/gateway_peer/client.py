"""Support asking another gateway, over HTTP."""

from urllib.parse import quote

import msgspec
import trio

from ...submissions.models import ResultPage
from . import const
from ..http.client import HttpPool
from ..http.client import parse_address
from ..http.errors import HttpError


class HttpSubmissionPeer:
    """Reach other gateways."""

    def __init__(self) -> None:
        """Begin with no connection."""
        self._pools: dict[str, HttpPool] = {}

    async def read(
        self, address: str, submission: str, after: int, wait_s: float
    ) -> ResultPage | None:
        """Return results; None when unreachable or not known there."""
        if address not in self._pools:
            self._pools[address] = HttpPool(
                parse_address(address), const.CONNECT_TIMEOUT_S
            )
        name = quote(submission, safe="")
        wait_ms = int(wait_s * 1000)
        target = f"{const.PATH_RESULTS}{name}?after={after}&wait_ms={wait_ms}"
        try:
            with trio.fail_after(wait_s + const.SLACK_S):
                answer = await self._pools[address].fetch("GET", target)
            if answer.status != 200:
                return None
            return msgspec.msgpack.decode(answer.body, type=ResultPage)
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError):
            return None
