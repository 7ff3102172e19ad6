"""HTTP client that downloads weights."""

from result import Err
from result import Ok
from result import Result
import trio

from ..http.address import parse_address
from ..http.client import HttpPool
from ..http.errors import HttpError
from .const import FETCH_TIMEOUT_S
from .const import URL_SCHEME


class HttpWeightFetcher:
    """Client that downloads weights by URL.

    The host of a URL is an IP address with a port.
    """

    async def fetch(self, url: str, max_bytes: int) -> Result[bytes, str]:
        """Return the weights, Err over `max_bytes`; an Err may be retried."""
        address, _, path = url.removeprefix(URL_SCHEME).partition("/")
        try:
            pool = HttpPool(parse_address(address))
            with trio.fail_after(FETCH_TIMEOUT_S):
                async with pool.request(
                    "GET", "/" + path, new_connection=True
                ) as response:
                    if response.status != 200:
                        return Err(f"{url}: status {response.status}")
                    data = bytearray()
                    async for chunk in response.iter_chunks():
                        data += chunk
                        if len(data) > max_bytes:
                            return Err(f"{url}: over {max_bytes} bytes")
        except (HttpError, trio.TooSlowError, ValueError) as error:
            return Err(f"{url}: {error!r}")
        return Ok(bytes(data))
