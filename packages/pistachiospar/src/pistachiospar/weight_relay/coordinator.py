"""Cache of weights, fetched from ancestors in the tree for descendants.

Weights that are too large to be cached are not relayed: the engine then
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
    """Cache of the newest weights of each model, by `model/version`."""

    def __init__(
        self,
        fetcher: WeightFetcher,
        own_address: str,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Expect the cached weights to be served at `own_address`."""
        self._fetcher = fetcher
        self._own_address = own_address
        self._metrics = metrics
        self._rng = rng
        self._backoff = Backoff(const.RETRY_INITIAL_S, const.RETRY_MAX_S)
        self._cached: OrderedDict[str, bytes] = OrderedDict()

    def find_weights(self, name: str) -> bytes | None:
        """Return cached weights by `model/version`; None if not cached."""
        return self._cached.get(name)

    async def fetch_weights(self, order: WeightOrder) -> str:
        """Fetch an order's weights; return the URL for the engine.

        Ancestors are tried several times each, the nearest first, then the
        source. The URL is the source's if none of them gives the weights.
        """
        name = f"{order.model}/{order.version}"
        if name not in self._cached:
            urls = [
                _make_weights_url(address, name) for address in order.ancestors
            ]
            with trio.move_on_after(const.FETCH_TIMEOUT_S):
                await self._fetch_from([*urls, order.source], name)
        if name in self._cached:
            return _make_weights_url(self._own_address, name)
        return order.source

    async def _fetch_from(self, urls: list[str], name: str) -> None:
        """Fetch and cache the weights from the first URL that has them."""
        for url in urls:
            for attempt in range(const.ATTEMPTS_PER_SOURCE):
                found = await self._fetcher.fetch(
                    url, const.MAX_RELAYED_WEIGHTS_BYTES
                )
                if not isinstance(found, Err):
                    self._store_weights(name, found.ok_value)
                    return
                self._metrics.count("weight_fetches_failed")
                await trio.sleep(
                    self._backoff.draw_delay_s(attempt, self._rng)
                )
            log_event("weights_not_fetched", url=url)

    def _store_weights(self, name: str, data: bytes) -> None:
        """Cache weights; evict the model's oldest ones."""
        self._cached[name] = data
        self._metrics.count("weights_fetched")
        prefix = name.rpartition("/")[0] + "/"
        versions = [
            cached for cached in self._cached if cached.startswith(prefix)
        ]
        for old in versions[: -const.CACHED_VERSIONS_PER_MODEL]:
            del self._cached[old]


def _make_weights_url(address: str, name: str) -> str:
    """Return the URL of weights at a sidecar."""
    return f"http://{address}{PATH_WEIGHTS}{name}"
