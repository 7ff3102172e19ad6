"""Support reading weights over HTTP."""

from result import Err
from result import Ok
from result import Result
import trio

from ..http.client import HttpPool
from ..http.client import parse_address
from ..http.errors import HttpError
from .const import FETCH_TIMEOUT_S
from .const import SCHEME


class HttpWeightFetcher:
    """Read weights by URL; the host is an IP number with a port."""

    async def fetch(self, url: str, max_bytes: int) -> Result[bytes, str]:
        """Return the weights; an Err may be tried again."""
        place, _, path = url.removeprefix(SCHEME).partition("/")
        try:
            pool = HttpPool(parse_address(place))
            with trio.fail_after(FETCH_TIMEOUT_S):
                async with pool.request(
                    "GET", "/" + path, fresh=True
                ) as answer:
                    if answer.status != 200:
                        return Err(f"{url}: status {answer.status}")
                    data = bytearray()
                    async for chunk in answer.chunks():
                        data += chunk
                        if len(data) > max_bytes:
                            return Err(f"{url}: over {max_bytes} bytes")
        except (HttpError, trio.TooSlowError, ValueError) as error:
            return Err(f"{url}: {error!r}")
        return Ok(bytes(data))
