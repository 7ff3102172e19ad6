"""Data classes of the operator's configuration."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from ..organisations.models import OrganisationTable


class CallKind(Enum):
    """Kind of a route's calls, which decides whether they are repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class UpstreamShare:
    """An upstream and its weight among those of a route."""

    upstream: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route for calls whose host and path prefix match; times in seconds.

    `timeout_s` bounds how long a caller waits, `target_latency_s` is the time
    up to which a response keeps its full value. `result_due_s` and
    `max_age_s` count from the first arrival of a submission. `priority` 0 is
    the most urgent. Calls on a `public` route need no key.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[UpstreamShare, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    resumable: bool = False
    stream: bool = False
    result_due_s: float = 0.0
    max_age_s: float = 0.0
    single_version: bool = False
    public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a call may run more than once.

        A streamed call may when it is resumable, a rollout always, any other
        call when it is safe.
        """
        if self.stream or self.kind is CallKind.ROLLOUT:
            return self.resumable or self.kind is CallKind.ROLLOUT
        return self.kind is CallKind.SAFE


@dataclass(frozen=True, slots=True)
class UpstreamConfig:
    """An upstream; `models` is empty unless it serves models."""

    name: str
    max_connections: int
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests of callers, in bytes and seconds."""

    max_head_bytes: int
    max_body_bytes: int
    read_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operator's configuration, numbered from 1.

    Version 0 stands for none: the table is empty then. `organisations` is
    None unless some are configured.
    """

    version: int
    routes: tuple[Route, ...] = ()
    upstreams: dict[str, UpstreamConfig] = field(default_factory=dict)
    limits: CallerLimits | None = None
    organisations: OrganisationTable | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None without."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best

    def list_pools(self) -> list[UpstreamConfig]:
        """Return the upstreams that serve models."""
        return [u for u in self.upstreams.values() if u.models]
