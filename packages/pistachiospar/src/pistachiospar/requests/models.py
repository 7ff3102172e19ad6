"""Data classes of the request path."""

from dataclasses import dataclass
from typing import TypeAlias

from ..bundle.models import Caller
from ..bundle.models import Upstream
from ..link.messages import OrderKind


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one request on its way; `deadline` is monotonic seconds.

    `pinned` says that the caller gave the key: it then chooses the
    instance. `prefix` names what the instance may hold in its cache.
    """

    request_id: str
    caller: Caller
    upstream: Upstream
    kind: OrderKind
    method: str
    path: str
    content_type: str
    body: bytes
    deadline: float
    tokens: int
    repeatable: bool
    key: str = ""
    pinned: bool = False
    prefix: str = ""
    model: str = ""
    min_version: int = 0


@dataclass(frozen=True, slots=True)
class Chosen:
    """Tell which instance a request goes to, and why.

    `ask_first` is the instance that held the request's key before.
    """

    name: str
    reason: str
    ask_first: str = ""


@dataclass(frozen=True, slots=True)
class NoInstance:
    """Tell why a request can go nowhere."""

    reason: str
    retry_after_s: float
    doubtful: bool = False


Choice: TypeAlias = Chosen | NoInstance


@dataclass(frozen=True, slots=True)
class Delivered:
    """Tell that the caller has its whole answer."""


@dataclass(frozen=True, slots=True)
class Cut:
    """Tell that the answer broke off after a part was passed on."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """Tell that an attempt was certainly not run."""

    reason: str
    retry_after_s: float
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """Tell that an attempt may have been run and its answer is lost.

    `settled` says that the sidecar itself told so.
    """

    reason: str
    settled: bool = False


AttemptResult: TypeAlias = Delivered | Cut | NotRun | Lost


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Tell to try again after a delay in seconds."""

    delay_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Tell to stop trying."""

    reason: str


RetryDecision: TypeAlias = RetryAt | GiveUp
