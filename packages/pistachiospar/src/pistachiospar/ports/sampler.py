"""Port of upstream instances that are reached without a sidecar."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Protocol

from result import Result

from ..adapters.http.models import Headers
from ..routing.instances import ListedInstance


@dataclass(frozen=True, slots=True)
class SamplerCall:
    """Hold one call as it goes to an instance.

    `headers` are the caller's own; `left_s` is the time that the instance
    has. With `expected_version` an instance that holds other weights refuses;
    `after_event` asks for the events after that one.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    left_s: float
    expected_version: int | None = None
    after_event: int | None = None
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """Tell how many calls run and wait at an instance."""

    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold one event; `version` is set where the weights changed.

    `raw` has its bytes as they came, to be passed on.
    """

    number: int
    data: str
    version: int | None = None
    raw: bytes = b""


class SamplerAnswer(Protocol):
    """Read an instance's answer.

    `not_run` is the instance's own word that it did not and will not run
    the call; `stamp` is its signature, empty when there is none.
    """

    status: int
    headers: Headers
    not_run: bool
    stamp: str
    version: int | None
    load: InstanceLoad | None

    async def read(self) -> bytes:
        """Return the whole body; raises UpstreamError."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is cut short."""

    def events(self) -> AsyncIterator[StreamEvent]:
        """Yield whole events; raises UpstreamError when cut short."""


class OrderReply(Enum):
    """Say what an instance made of an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order an instance to load a version of a model's weights.

    The instance refuses it unless `accepted_orders` is still its count.
    """

    model: str
    version: int
    holder: str
    fence: int
    accepted_orders: int


@dataclass(frozen=True, slots=True)
class SamplerReport:
    """Hold what an instance says of itself, some 100 ms old."""

    busy: bool
    accepted_orders: int
    running: int
    waiting: int
    versions: dict[str, int] = field(default_factory=dict)


class Samplers(Protocol):
    """Reach all upstream instances."""

    def call(
        self, instance: ListedInstance, call: SamplerCall
    ) -> AbstractAsyncContextManager[SamplerAnswer]:
        """Make a call; leaving the context early cancels it.

        Raises UpstreamNotSentError and UpstreamError.
        """

    async def order(
        self, instance: ListedInstance, order: LoadOrder
    ) -> OrderReply:
        """Give an order; UNKNOWN may be carried out later."""

    async def read_report(
        self, instance: ListedInstance
    ) -> Result[SamplerReport, str]:
        """Return what the instance says of itself."""

    def forget(self, kept: set[str]) -> None:
        """Close the connections to all instances but these."""
