"""Messages of key-value calls that a gateway relays through a peer."""

import msgspec

from ..ports.kv import KvEvent
from ..ports.kv import KvFault
from ..ports.kv import KvItem
from ..ports.kv import KvTransaction


class ListCall(msgspec.Struct, frozen=True, tag="list"):
    """List the items below a prefix."""

    prefix: str


class GetCall(msgspec.Struct, frozen=True, tag="get"):
    """Get one item."""

    key: str


class CommitCall(msgspec.Struct, frozen=True, tag="commit"):
    """Commit a transaction."""

    transaction: KvTransaction


class GrantCall(msgspec.Struct, frozen=True, tag="grant"):
    """Grant a lease of `ttl_s` seconds."""

    ttl_s: float


class RenewCall(msgspec.Struct, frozen=True, tag="keep"):
    """Renew a lease."""

    lease: int


class RevokeCall(msgspec.Struct, frozen=True, tag="revoke"):
    """Revoke a lease."""

    lease: int


class PollCall(msgspec.Struct, frozen=True, tag="poll"):
    """Poll for changes after a revision, for up to `wait_s` seconds."""

    prefix: str
    after: int
    wait_s: float


KvCall = (
    ListCall
    | GetCall
    | CommitCall
    | GrantCall
    | RenewCall
    | RevokeCall
    | PollCall
)


class KvReply(msgspec.Struct, frozen=True):
    """Reply to any call; `fault` is set when it failed.

    `number` is a revision or a lease's id, `seconds` the remaining time of a
    lease, `won` whether a transaction's checks held.
    """

    fault: KvFault | None = None
    detail: str = ""
    items: list[KvItem] = []
    events: list[KvEvent] = []
    number: int = 0
    seconds: float = 0.0
    won: bool = False
