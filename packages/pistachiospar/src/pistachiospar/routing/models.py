"""Data classes of the operator's configuration."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class CallKind(Enum):
    """Say what may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class Share:
    """Hold an upstream and its weight in a split."""

    upstream: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe one route; times are in seconds.

    `timeout_s` bounds how long a caller waits, `target_s` is when an answer
    is still worth all. `due_s` and `give_up_s` count from a submission's
    first arrival. `priority` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[Share, ...]
    timeout_s: float
    target_s: float
    priority: int
    max_attempts: int
    resumable: bool = False
    stream: bool = False
    due_s: float = 0.0
    give_up_s: float = 0.0
    single_version: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a call may run more than once."""
        if self.stream or self.kind is CallKind.ROLLOUT:
            return self.resumable or self.kind is CallKind.ROLLOUT
        return self.kind is CallKind.SAFE


@dataclass(frozen=True, slots=True)
class UpstreamPolicy:
    """Describe an upstream; `models` is empty for a plain service."""

    name: str
    max_connections: int
    models: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what callers may send, in bytes and seconds."""

    max_head_bytes: int
    max_body_bytes: int
    read_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold one version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    upstreams: dict[str, UpstreamPolicy] = field(default_factory=dict)
    limits: CallerLimits | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best

    def find_pools(self) -> list[UpstreamPolicy]:
        """Return the upstreams that hold models."""
        return [u for u in self.upstreams.values() if u.models]
