"""Key-value access that falls back to a peer when the service refuses calls.

The platform's service at times refuses some instances and serves others.
"""

from collections.abc import Callable
from random import Random

from result import Err
from result import Ok
from result import Result
import trio

from . import const
from . import messages
from ..ports.kv import KvError
from ..ports.kv import KvFault
from ..ports.kv import KvItem
from ..ports.kv import KvTransaction
from ..ports.kv import KvWriteResult
from ..ports.kv import WATCH_POLL_TIMEOUT_S
from ..ports.peer_kv import PeerKeyValue
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .base import ChangeBatch
from .base import PollBasedKeyValue
from .calls import execute_call
from .calls import PollableKeyValue


class RelayedKeyValue(PollBasedKeyValue):
    """Call the service directly, or through a peer while it refuses."""

    def __init__(
        self,
        direct: PollableKeyValue,
        peers: PeerKeyValue,
        list_peers: Callable[[], list[str]],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Start with direct calls; `list_peers` returns peers' addresses."""
        self._direct = direct
        self._peers = peers
        self._list_peers = list_peers
        self._metrics = metrics
        self._rng = rng
        self._relaying_until = float("-inf")
        self._relay_paused_until = float("-inf")

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the store's revision."""
        result = await self._execute(messages.ListCall(prefix))
        return result.map(lambda reply: (reply.items, reply.number))

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, or None."""
        result = await self._execute(messages.GetCall(key))
        return result.map(lambda reply: next(iter(reply.items), None))

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Commit a transaction if all its checks hold."""
        result = await self._execute(messages.CommitCall(transaction))
        return result.map(lambda reply: KvWriteResult(reply.won, reply.number))

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Return a new lease's id."""
        result = await self._execute(messages.GrantCall(ttl_s))
        return result.map(lambda reply: reply.number)

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 when it expired."""
        result = await self._execute(messages.RenewCall(lease))
        return result.map(lambda reply: reply.seconds)

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Release a lease before it expires."""
        result = await self._execute(messages.RevokeCall(lease))
        return result.map(lambda _: None)

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_POLL_TIMEOUT_S
    ) -> Result[ChangeBatch, KvError]:
        """Return the changes after a revision, and the revision reached."""
        result = await self._execute(messages.PollCall(prefix, after, wait_s))
        return result.map(lambda reply: (reply.events, reply.number))

    async def _execute(
        self, call: messages.KvCall
    ) -> Result[messages.KvReply, KvError]:
        """Execute a call, through a peer while the service refuses calls."""
        now = trio.current_time()
        if now < self._relaying_until:
            relayed = await self._relay_call(call)
            if relayed is not None:
                return _unwrap_reply(relayed)
        elif self._relaying_until > 0:
            # This call probes the service; others still go to peers.
            self._relaying_until = now + const.PROBE_TIMEOUT_S
        reply = await execute_call(self._direct, call)
        if not self._may_repeat(call, reply):
            self._relaying_until = float("-inf")
            return _unwrap_reply(reply)
        relayed = await self._relay_call(call)
        if relayed is None:
            return _unwrap_reply(reply)
        log_event("store_relayed", error=reply.detail)
        self._relaying_until = trio.current_time() + const.DIRECT_RETRY_DELAY_S
        return _unwrap_reply(relayed)

    def _may_repeat(
        self, call: messages.KvCall, reply: messages.KvReply
    ) -> bool:
        """Return whether a call that failed may be executed again.

        A call that may have taken effect may be repeated if it only reads or
        can succeed only once.
        """
        match reply.fault:
            case None | KvFault.NO_LEASE:
                return False
            case KvFault.NOT_SENT:
                return True
            case KvFault.UNKNOWN:
                return not isinstance(call, messages.GrantCall)

    async def _relay_call(
        self, call: messages.KvCall
    ) -> messages.KvReply | None:
        """Execute a call through a peer; None when no peer could."""
        if trio.current_time() < self._relay_paused_until:
            return None
        peers = self._list_peers()
        self._rng.shuffle(peers)
        for address in peers[: const.MAX_PEERS_TRIED]:
            reply = await self._peers.call_kv(address, call)
            if reply is not None and reply.fault in (None, KvFault.NO_LEASE):
                self._metrics.count("kv_calls_relayed")
                return reply
        self._relay_paused_until = trio.current_time() + const.RELAY_PAUSE_S
        return None


def _unwrap_reply(
    reply: messages.KvReply,
) -> Result[messages.KvReply, KvError]:
    """Return a reply as Ok, or its fault as Err."""
    if reply.fault is not None:
        return Err(KvError(reply.fault, reply.detail))
    return Ok(reply)
