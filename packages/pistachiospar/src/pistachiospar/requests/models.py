"""Requests, choices of an instance and results of attempts."""

from dataclasses import dataclass
from typing import TypeAlias

from ..bundle.models import Caller
from ..bundle.models import Upstream
from ..link.messages import OrderKind


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A checked request; `deadline` is monotonic seconds.

    `tokens` is the expected cost. `pinned` is set if the caller gave the
    idempotency key, which then determines the instance. `prefix` identifies
    content that an instance may have in its prompt cache.
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
    """The instance that a request is sent to, and why.

    `previous_owner` is the instance that owned the request's key before;
    it has to be asked first. Empty if there is none.
    """

    name: str
    reason: str
    previous_owner: str = ""


@dataclass(frozen=True, slots=True)
class NoInstance:
    """The reason why no instance can be chosen.

    `outcome_unknown` is set if an earlier request with the same key may
    have been run.
    """

    reason: str
    retry_after_s: float
    outcome_unknown: bool = False


Choice: TypeAlias = Chosen | NoInstance


@dataclass(frozen=True, slots=True)
class Delivered:
    """An attempt whose complete response the caller received."""


@dataclass(frozen=True, slots=True)
class Truncated:
    """An attempt whose response broke off after part of it was relayed."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """An attempt that was certainly not run.

    `unreachable` is set if the order could not be sent.
    """

    reason: str
    retry_after_s: float
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """An attempt that may have been run and whose response is lost.

    `settled` is set if no further settling can find out more.
    """

    reason: str
    settled: bool = False


AttemptResult: TypeAlias = Delivered | Truncated | NotRun | Lost


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Try again after a delay in seconds."""

    delay_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Make no further attempt."""

    reason: str


RetryDecision: TypeAlias = RetryAfter | GiveUp
