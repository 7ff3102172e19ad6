"""Support the weight store in memory, and the way between sidecars."""

from collections.abc import Mapping
from collections import Counter
from collections import deque

from pistachiospar.link.const import PATH_WEIGHTS
from result import Err
from result import Ok
from result import Result
import trio

from .links import SidecarHost

READ_S = 0.1
HAND_ON_S = 0.05


class FakeWeightStore:
    """Serve weights at a limited rate, and count the readings."""

    def __init__(self) -> None:
        """Begin with no reading."""
        self.reads_per_s = 20
        self.down = False
        self.reads: Counter[str] = Counter()
        self.refused = 0
        self._recent: deque[float] = deque()

    def make_fetcher(
        self, hosts: Mapping[str, SidecarHost]
    ) -> "FakeWeightFetcher":
        """Return what a sidecar fetches with."""
        return FakeWeightFetcher(self, hosts)

    async def read(self, url: str) -> Result[bytes, str]:
        """Read weights; an Err past the rate."""
        now = trio.current_time()
        while self._recent and now - self._recent[0] > 1.0:
            self._recent.popleft()
        if self.down or len(self._recent) >= self.reads_per_s:
            self.refused += 1
            return Err("status 429")
        self._recent.append(now)
        self.reads[url] += 1
        await trio.sleep(READ_S)
        return Ok(url.encode())


class FakeWeightFetcher:
    """Fetch from the store, or from a sidecar that holds the weights."""

    def __init__(
        self, store: FakeWeightStore, hosts: Mapping[str, SidecarHost]
    ) -> None:
        """Take the places."""
        self._store = store
        self._hosts = hosts

    async def fetch(self, url: str, max_bytes: int) -> Result[bytes, str]:
        """Return the weights; an Err may be tried again."""
        if PATH_WEIGHTS not in url:
            return await self._store.read(url)
        place, _, name = url.partition(PATH_WEIGHTS)
        host = self._hosts[place.removeprefix("http://").partition(":")[0]]
        await trio.sleep(HAND_ON_S)
        coordinator = host.coordinator
        relay = coordinator.relay if coordinator is not None else None
        data = relay.find_weights(name) if relay is not None else None
        return Err("status 404") if data is None else Ok(data)
