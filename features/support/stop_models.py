"""Plans of planned stops, and what callers and samplers saw of them."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class Attempt:
    """One request; times are in seconds after the first SIGTERM.

    `status` is 0 without an answer, `sent_at` when the last byte was sent,
    None if it wasn't. A stream `is_broken` if it has no end. A connection
    `is_reset` if the gateway closed it with unread bytes.
    """

    kind: str
    call_id: str
    begun_at: float
    sent_at: float | None = None
    status: int = 0
    ended_at: float = 0.0
    is_broken: bool = False
    is_reset: bool = False


@dataclass(slots=True)
class Stop:
    """A plan of planned work, and what callers and samplers saw.

    `grace_s` is how long a gateway has between SIGTERM and its end.
    `stopped` names the gateways that get SIGTERM, `gap_s` apart.
    """

    grace_s: float = 5.0
    gateways: int = 2
    stopped: tuple[str, ...] = ("g0",)
    gap_s: float = 0.0
    hangs_up: bool = False
    changes_configuration: bool = False
    calls_per_s: float = 20.0
    attempts: list[Attempt] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    finished: dict[str, float] = field(default_factory=dict)
    ended_after_s: dict[str, float] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
