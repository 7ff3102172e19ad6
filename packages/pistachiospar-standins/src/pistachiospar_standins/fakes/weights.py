"""In-memory fakes of the weight store and of fetching from sidecars."""

from collections.abc import Mapping
from collections import Counter
from collections import deque

from pistachiospar.link.const import PATH_WEIGHTS
from result import Err
from result import Ok
from result import Result
import trio

from .links import SidecarHost

STORE_READ_DURATION_S = 0.1
PEER_READ_DURATION_S = 0.05


class FakeWeightStore:
    """A weight store that limits its reads and counts those of each URL."""

    def __init__(self) -> None:
        """Create a store that serves 20 reads a second."""
        self.reads_per_s = 20
        self.down = False
        self.reads: Counter[str] = Counter()
        self.refused_reads = 0
        self._recent: deque[float] = deque()

    def make_fetcher(
        self, hosts: Mapping[str, SidecarHost]
    ) -> "FakeWeightFetcher":
        """Return a fetcher for one sidecar."""
        return FakeWeightFetcher(self, hosts)

    async def read(self, url: str) -> Result[bytes, str]:
        """Return the weights, Err when down or over the rate limit."""
        now = trio.current_time()
        while self._recent and now - self._recent[0] > 1.0:
            self._recent.popleft()
        if self.down or len(self._recent) >= self.reads_per_s:
            self.refused_reads += 1
            return Err("status 429")
        self._recent.append(now)
        self.reads[url] += 1
        await trio.sleep(STORE_READ_DURATION_S)
        return Ok(url.encode())


class FakeWeightFetcher:
    """A fetcher of weights from the store or from another sidecar."""

    def __init__(
        self, store: FakeWeightStore, hosts: Mapping[str, SidecarHost]
    ) -> None:
        """Fetch from the store and from the relays of the given hosts."""
        self._store = store
        self._hosts = hosts

    async def fetch(self, url: str, max_bytes: int) -> Result[bytes, str]:
        """Return the weights; an Err may be retried."""
        if PATH_WEIGHTS not in url:
            return await self._store.read(url)
        source, _, name = url.partition(PATH_WEIGHTS)
        host = self._hosts[source.removeprefix("http://").partition(":")[0]]
        await trio.sleep(PEER_READ_DURATION_S)
        coordinator = host.coordinator
        relay = coordinator.relay if coordinator is not None else None
        data = relay.find_weights(name) if relay is not None else None
        return Err("status 404") if data is None else Ok(data)
