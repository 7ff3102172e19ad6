"""Support the instance list over HTTP with entity tags."""

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ...ports.instances import Instance
from ...ports.instances import InstanceListSnapshot
from ..http.client import Address
from ..http.client import HttpPool
from ..http.errors import HttpError
from ..http.models import Headers
from .const import CALL_TIMEOUT_S
from .const import PATH_INSTANCES


class HttpInstanceList:
    """Fetch the instance list."""

    def __init__(self, address: Address) -> None:
        """Begin with no connection."""
        self._pool = HttpPool(address)

    async def fetch_list(
        self, known_tag: str
    ) -> Result[InstanceListSnapshot | None, str]:
        """Return the list, or None when the known tag is still right."""
        headers: Headers = []
        if known_tag:
            headers.append(("If-None-Match", known_tag))
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                answer = await self._pool.fetch("GET", PATH_INSTANCES, headers)
            if answer.status == 304:
                return Ok(None)
            if answer.status != 200:
                return Err(f"status {answer.status}")
            items = msgspec.json.decode(answer.body, type=list[Instance])
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError) as error:
            return Err(repr(error))
        return Ok(InstanceListSnapshot(answer.headers.get("etag", ""), items))
