"""HTTP client of the instance list, with entity tags."""

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ...ports.instances import Instance
from ...ports.instances import InstanceListSnapshot
from ..http.address import Address
from ..http.client import HttpPool
from ..http.errors import HttpError
from ..http.models import Headers
from .const import CALL_TIMEOUT_S
from .const import PATH_INSTANCES


class HttpInstanceList:
    """Client of the instance list."""

    def __init__(self, address: Address) -> None:
        """Create a client; connections are opened when they are needed."""
        self._pool = HttpPool(address)

    async def fetch_list(
        self, known_tag: str
    ) -> Result[InstanceListSnapshot | None, str]:
        """Return the list, or None when `known_tag` is still current."""
        headers: Headers = []
        if known_tag:
            headers.append(("If-None-Match", known_tag))
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                response = await self._pool.fetch(
                    "GET", PATH_INSTANCES, headers
                )
            if response.status == 304:
                return Ok(None)
            if response.status != 200:
                return Err(
                    f"instance list responded with status {response.status}"
                )
            items = msgspec.json.decode(response.body, type=list[Instance])
        except (HttpError, trio.TooSlowError, msgspec.MsgspecError) as error:
            return Err(repr(error))
        return Ok(
            InstanceListSnapshot(response.headers.get("etag", ""), items)
        )
