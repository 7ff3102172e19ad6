"""Messages of key-value calls that a peer makes for a gateway."""

import msgspec

from ..ports.kv import KvEvent
from ..ports.kv import KvFault
from ..ports.kv import KvItem
from ..ports.kv import KvTransaction


class ListCall(msgspec.Struct, frozen=True, tag="list"):
    """Ask for the items below a prefix."""

    prefix: str


class GetCall(msgspec.Struct, frozen=True, tag="get"):
    """Ask for one item."""

    key: str


class CommitCall(msgspec.Struct, frozen=True, tag="commit"):
    """Ask for a transaction."""

    transaction: KvTransaction


class GrantCall(msgspec.Struct, frozen=True, tag="grant"):
    """Ask for a lease."""

    ttl_s: float


class KeepCall(msgspec.Struct, frozen=True, tag="keep"):
    """Ask to renew a lease."""

    lease: int


class RevokeCall(msgspec.Struct, frozen=True, tag="revoke"):
    """Ask to end a lease."""

    lease: int


class PollCall(msgspec.Struct, frozen=True, tag="poll"):
    """Ask for the changes after a revision."""

    prefix: str
    after: int
    wait_s: float


KvCall = (
    ListCall
    | GetCall
    | CommitCall
    | GrantCall
    | KeepCall
    | RevokeCall
    | PollCall
)


class KvReply(msgspec.Struct, frozen=True):
    """Answer a call; `fault` is set when it failed.

    `number` is a revision or a lease, `seconds` the time left of a lease.
    """

    fault: KvFault | None = None
    detail: str = ""
    items: list[KvItem] = []
    events: list[KvEvent] = []
    number: int = 0
    seconds: float = 0.0
    won: bool = False
