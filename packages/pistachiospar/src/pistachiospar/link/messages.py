"""Messages of the link.

They travel as MessagePack arrays: a field may only be added at the end and
with a default, so that older and newer processes understand each other.
"""

from enum import IntEnum
from typing import TypeAlias

import msgspec

from ..bundle.models import Envelope


class Kind(IntEnum):
    """Tell what an order asks for."""

    CALL = 0
    SAMPLE = 1


class RunOrder(msgspec.Struct, frozen=True, array_like=True):
    """Ask a sidecar to run one request.

    `timeout_ms` is what is left of the deadline; `tokens` the expected
    cost; `model` the weights that a sample needs, at `min_version` or
    newer. A key of an idempotent retry is `caller` and `key` together.
    """

    request_id: str
    incarnation: str
    upstream: str
    kind: Kind
    method: str
    path: str
    caller: str
    partner: str
    priority: int
    timeout_ms: int
    tokens: int
    repeatable: bool
    key: str = ""
    model: str = ""
    min_version: int = 0
    content_type: str = ""
    body_digest: str = ""


class Answered(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Begin an upstream's answer."""

    request_id: str
    incarnation: str
    status: int
    content_type: str
    versions: list[int] = []
    replayed: bool = False


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Tell that the request was certainly not run."""

    request_id: str
    incarnation: str
    reason: str
    retry_after_s: float = 1.0
    draining: bool = False
    ready: bool = True


class Failed(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Tell that the request was dispatched and its answer is lost."""

    request_id: str
    incarnation: str
    reason: str


RunReply: TypeAlias = Answered | Refused | Failed


class WeightOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order a version of a model; `delay_s` places it in its wave.

    `fence` is the revision at which the key-value service took it;
    `ancestors` are the sidecars to fetch from, the nearest first.
    """

    model: str
    version: int
    source: str
    fence: int
    delay_s: float = 0.0
    ancestors: list[str] = []


class HeldVersion(msgspec.Struct, frozen=True, array_like=True):
    """Tell which version of a model an engine holds.

    `certain` is false while a swap is under way or in doubt.
    """

    model: str
    version: int
    certain: bool = True


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Tell a sidecar what an entry knows."""

    entry: str
    bundle_version: int
    orders: list[WeightOrder] = []
    asking: list[str] = []


class ReclaimOrder(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Ask for samples back: waiting ones refused, running ones in part."""

    request_ids: list[str]


class BundlePull(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Ask for the bundle in force, with the key changes after an epoch."""

    epoch: int


class BundlePush(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Hand over a bundle: key changes first, the newest release last."""

    envelopes: list[Envelope]


class SettleOrder(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """Ask what became of a request; one not run is tombstoned.

    `caller` and `key` find it by its idempotency key too; `moved` says that
    the key is served elsewhere from now on.
    """

    request_id: str
    caller: str = ""
    key: str = ""
    moved: bool = False


class Settled(IntEnum):
    """Tell what became of a request."""

    NOT_RUN = 0
    DISPATCHED = 1
    ANSWERED = 2


class Settlement(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Answer a settle order."""

    request_id: str
    incarnation: str
    settled: Settled


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Tell how far a request has come; `sent` counts body bytes."""

    request_id: str
    seen: bool
    sent: int
    ended: bool = False


class Status(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """Tell an entry how a sidecar does; tokens are expected costs.

    `ms_per_token` is the pace of the streams that run now, 0 for none;
    `ordered` are the newest versions that any entry has ordered.
    """

    name: str
    incarnation: str
    ready: bool
    draining: bool
    uptime_s: float
    bundle_version: int
    slots: int
    running: int
    queued: int
    queued_tokens: int
    held: list[HeldVersion] = []
    epoch: int = 0
    progress: list[Progress] = []
    ms_per_token: float = 0.0
    ordered: list[HeldVersion] = []


ControlRequest: TypeAlias = (
    Heartbeat | BundlePull | BundlePush | SettleOrder | ReclaimOrder
)
ControlReply: TypeAlias = Status | Settlement | BundlePush
