"""Messages of the link.

They are encoded as MessagePack arrays: fields may only be added at the end
and with a default, so that older and newer processes understand each other.
"""

from enum import IntEnum
from typing import TypeAlias

import msgspec

from ..bundle.models import Envelope


class OrderKind(IntEnum):
    """What an order asks a sidecar to run."""

    CALL = 0
    SAMPLE = 1


class RunOrder(msgspec.Struct, frozen=True, array_like=True):
    """A request that a sidecar is to run.

    `timeout_ms` is what is left of the deadline, `tokens` the expected
    cost. A sample needs the weights of `model` at `min_version` or newer.
    `caller` and `key` together are the idempotency key of a retry.
    """

    request_id: str
    incarnation: str
    upstream: str
    kind: OrderKind
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
    """An upstream's response, whose body follows.

    `replayed` marks the recorded response of an earlier run.
    """

    request_id: str
    incarnation: str
    status: int
    content_type: str
    versions: list[int] = []
    replayed: bool = False


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """A refusal of a request, which was certainly not run."""

    request_id: str
    incarnation: str
    reason: str
    retry_after_s: float = 1.0
    draining: bool = False
    ready: bool = True


class Failed(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """A failure of a request that was dispatched; its response is lost."""

    request_id: str
    incarnation: str
    reason: str


RunReply: TypeAlias = Answered | Refused | Failed


class WeightOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order to load a version of a model.

    `fence` is the revision at which the key-value service stored the
    announcement, `delay_s` the delay of the instance's wave in the rollout.
    `ancestors` are the sidecars to fetch from, the nearest first.
    """

    model: str
    version: int
    source: str
    fence: int
    delay_s: float = 0.0
    ancestors: list[str] = []


class HeldVersion(msgspec.Struct, frozen=True, array_like=True):
    """The version of a model that an engine has loaded.

    `certain` is false while a swap is in progress or its outcome is unknown.
    """

    model: str
    version: int
    certain: bool = True


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """An entry's periodic request for a sidecar's status.

    It carries the weight orders; the status reports the progress of
    `queried_request_ids`.
    """

    entry: str
    bundle_version: int
    orders: list[WeightOrder] = []
    queried_request_ids: list[str] = []


class ReclaimOrder(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A request to release samples before they are complete.

    Waiting ones are refused, running ones answered with what they have.
    """

    request_ids: list[str]


class BundlePull(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """A request for the bundle in force and the key changes after an epoch."""

    epoch: int


class BundlePush(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """A bundle: the key changes first, the newest release last."""

    envelopes: list[Envelope]


class SettleOrder(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A query for the fate of a request; one not run is tombstoned.

    `caller` and `key` find it by its idempotency key too; `key_moved` says
    that another instance serves the key from now on.
    """

    request_id: str
    caller: str = ""
    key: str = ""
    key_moved: bool = False


class SettlementOutcome(IntEnum):
    """The fate of a request."""

    NOT_RUN = 0
    DISPATCHED = 1
    ANSWERED = 2


class Settlement(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """The reply to a settle order."""

    request_id: str
    incarnation: str
    outcome: SettlementOutcome


class RequestProgress(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a request; `sent_bytes` counts those of the body.

    `known` is false when the sidecar has no record of the request.
    """

    request_id: str
    known: bool
    sent_bytes: int
    ended: bool = False


class Status(msgspec.Struct, frozen=True, array_like=True, tag="u"):
    """A sidecar's status; token counts are expected costs.

    `ms_per_token` is the pace of the streams that run now, 0 for none;
    `ordered_versions` are the newest versions that any entry has ordered.
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
    held_versions: list[HeldVersion] = []
    epoch: int = 0
    progress: list[RequestProgress] = []
    ms_per_token: float = 0.0
    ordered_versions: list[HeldVersion] = []


ControlRequest: TypeAlias = (
    Heartbeat | BundlePull | BundlePush | SettleOrder | ReclaimOrder
)
ControlReply: TypeAlias = Status | Settlement | BundlePush
