"""Data classes of forwarding."""

from dataclasses import dataclass
from enum import Enum

from ..adapters.http.models import Headers
from ..routing.models import Route


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """Hold a request that goes to an upstream; times are in seconds.

    `give_up_at` is on the process's clock: its answer is due by then.
    """

    request_id: str
    route: Route
    method: str
    target: str
    headers: Headers
    body: bytes
    give_up_at: float
    max_attempts: int
    hedged: bool = True


@dataclass(frozen=True, slots=True)
class Answered:
    """Hold an instance's whole answer; `stamp` is its signature."""

    status: int
    headers: Headers
    body: bytes
    stamp: str
    instance: str


class Fault(Enum):
    """Say why an attempt brought no answer."""

    NOT_RUN = "not-run"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Failed:
    """Tell that an attempt, or all of them, brought no answer."""

    fault: Fault
    detail: str


Outcome = Answered | Failed


def describe(outcome: Outcome) -> str:
    """Say in a few words what came of a call."""
    match outcome:
        case Answered(status=status, instance=instance):
            return f"{status} of {instance}"
        case Failed(fault, detail):
            return f"{fault.value}: {detail}"
