"""Data classes of the admission of plain calls."""

from collections.abc import Callable
from dataclasses import dataclass

from ..forwarding.models import ForwardCall
from ..ports.sampler import InstanceLoad
from ..routing.instances import ListedInstance


@dataclass(frozen=True, slots=True)
class InstanceRoom:
    """What this gateway knows of the room for its calls at an instance.

    It rejected the last `rejections` calls and gets none before `held_until`
    and no more than `window` at a time. `queue` is how many calls it lets
    wait, None when it has not shown that. `sent_since` counts the calls sent
    since it reported `load` at `load_at`. It has answered none of its calls
    since `unanswered_since`, None when there are none.
    """

    held_until: float = 0.0
    rejections: int = 0
    window: float = float("inf")
    queue: int | None = None
    load: InstanceLoad | None = None
    load_at: float = 0.0
    sent_since: int = 0
    unanswered_since: float | None = None


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The second attempts that an upstream's calls may make."""

    tokens: float
    updated_at: float


@dataclass(frozen=True, slots=True)
class QueueHistory:
    """For how long calls have waited more than not, up to a maximum.

    `is_standing` is set while that is no burst any more.
    """

    updated_at: float
    busy_s: float = 0.0
    is_busy: bool = False
    is_standing: bool = False


@dataclass(slots=True, eq=False)
class CallOffer:
    """A call that asks for an instance.

    `is_repeated` is set when an instance got the call before, and `hedges`
    while one still has it. `start` sends it to an instance, `refuse` ends its
    wait with the seconds after which room is expected.
    """

    call: ForwardCall
    tried: set[str]
    is_repeated: bool
    hedges: bool
    may_refuse: Callable[[], bool]
    start: Callable[[ListedInstance], None]
    refuse: Callable[["AdmissionRefusal"], None]


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """A call that can't be served in time; room is expected later."""

    detail: str
    expected_s: float | None = None


@dataclass(frozen=True, slots=True)
class NoInstance:
    """All instances are gone, avoided or at the limit that they named."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """The call waits until it is started or refused."""


@dataclass(frozen=True, slots=True)
class Started:
    """The call was sent to an instance."""


AdmissionAnswer = AdmissionRefusal | NoInstance | Waiting | Started
