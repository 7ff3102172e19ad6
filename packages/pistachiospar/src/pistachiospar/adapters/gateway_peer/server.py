"""Support the calls of other gateways."""

from collections.abc import Awaitable
from collections.abc import Callable
from urllib.parse import unquote

import msgspec

from ...submissions.models import ResultPage
from . import const
from ..http.models import HttpRequest
from ..http.server import Exchange

ReadHere = Callable[[str, int, float], Awaitable[ResultPage | None]]


class GatewayPeerHandler:
    """Answer other gateways from the memory of this one."""

    def __init__(self, read_here: ReadHere) -> None:
        """Take the way to the results held here."""
        self._read_here = read_here

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one call."""
        if not request.path.startswith(const.PATH_RESULTS):
            await exchange.send_whole(404, [], b"")
            return
        parameters = request.parameters()
        page = await self._read_here(
            unquote(request.path.removeprefix(const.PATH_RESULTS)),
            int(parameters.get("after", "0")),
            int(parameters.get("wait_ms", "0")) / 1000,
        )
        if page is None:
            await exchange.send_whole(404, [], b"")
            return
        await exchange.send_whole(200, [], msgspec.msgpack.encode(page))
