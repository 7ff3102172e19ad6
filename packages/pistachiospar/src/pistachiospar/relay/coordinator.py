"""Support fetching weights from above and handing them on below.

Weights that are too large to be kept here are not relayed: the engine then
reads their source itself.
"""

from collections import OrderedDict
from random import Random

from result import Err
import trio

from . import const
from ..helpers.backoff import Backoff
from ..link.const import PATH_WEIGHTS
from ..link.messages import WeightOrder
from ..ports.weights import WeightFetcher
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics


class WeightRelay:
    """Hold the newest weights of each model, by name."""

    def __init__(
        self,
        fetcher: WeightFetcher,
        own_address: str,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin with nothing held."""
        self._fetcher = fetcher
        self._own_address = own_address
        self._metrics = metrics
        self._rng = rng
        self._backoff = Backoff(const.RETRY_FIRST_S, const.RETRY_MOST_S)
        self._held: OrderedDict[str, bytes] = OrderedDict()

    def find(self, name: str) -> bytes | None:
        """Return weights that are held, by `model/version`."""
        return self._held.get(name)

    async def obtain(self, order: WeightOrder) -> str:
        """Fetch an order's weights; return where the engine reads them.

        Every ancestor is asked some times, then the one above it, and at
        last the store.
        """
        name = f"{order.model}/{order.version}"
        if name not in self._held:
            urls = [_make_url(place, name) for place in order.ancestors]
            with trio.move_on_after(const.FETCH_LIMIT_S):
                await self._fetch_from([*urls, order.source], name)
        if name in self._held:
            return _make_url(self._own_address, name)
        return order.source

    async def _fetch_from(self, urls: list[str], name: str) -> None:
        """Fetch from the first URL that gives the weights."""
        for url in urls:
            for tries in range(const.TRIES_EACH):
                found = await self._fetcher.fetch(url, const.MAX_MEMORY_BYTES)
                if not isinstance(found, Err):
                    self._keep(name, found.ok_value)
                    return
                self._metrics.count("weight_fetches_failed")
                await trio.sleep(self._backoff.draw_delay_s(tries, self._rng))
            log_event("weights_not_fetched", url=url)

    def _keep(self, name: str, data: bytes) -> None:
        """Keep weights; the oldest ones of the model go."""
        self._held[name] = data
        self._metrics.count("weights_fetched")
        prefix = name.rpartition("/")[0] + "/"
        same = [held for held in self._held if held.startswith(prefix)]
        for old in same[: -const.KEPT_VERSIONS]:
            del self._held[old]


def _make_url(address: str, name: str) -> str:
    """Return the URL of weights at a sidecar."""
    return f"http://{address}{PATH_WEIGHTS}{name}"
