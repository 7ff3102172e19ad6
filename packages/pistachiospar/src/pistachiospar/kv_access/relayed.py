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
from .peer_order import PeerOrder


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
        self._order = PeerOrder(rng)
        # When the service is called again, after it refused calls.
        self._probe_at = float("-inf")
        self._path_changed = trio.Event()
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
        call = messages.PollCall(prefix, after, wait_s)
        while True:
            result = await self._poll_once(call)
            if result is not None:
                return result.map(lambda reply: (reply.events, reply.number))

    async def _poll_once(
        self, call: messages.PollCall
    ) -> Result[messages.KvReply, KvError] | None:
        """Execute a poll; None when its path turned out to be cut."""
        path_changed = self._path_changed
        found: list[Result[messages.KvReply, KvError]] = []
        async with trio.open_nursery() as nursery:

            async def execute() -> None:
                found.append(await self._execute(call))
                nursery.cancel_scope.cancel()

            nursery.start_soon(execute)
            await path_changed.wait()
            nursery.cancel_scope.cancel()
        return found[0] if found else None

    async def _execute(
        self, call: messages.KvCall
    ) -> Result[messages.KvReply, KvError]:
        """Execute a call, through a peer while the service refuses calls.

        One attempt with unknown outcome decides over others that had no
        effect for certain.
        """
        unknown: list[messages.KvReply] = []
        if not self._may_call_directly(call):
            relayed = await self._relay_call(call, unknown)
            if relayed is not None:
                return _unwrap_reply(relayed)
        if isinstance(call, messages.RenewCall):
            return _unwrap_reply(await self._execute_renewal(call))
        reply = await execute_call(self._direct, call)
        if not self._may_repeat(call, reply):
            self._probe_at = float("-inf")
            return _unwrap_reply(reply)
        relayed = await self._relay_call(call, unknown)
        if relayed is None:
            return _unwrap_reply(unknown[0] if unknown else reply)
        self._start_relaying(reply.detail)
        return _unwrap_reply(relayed)

    def _may_call_directly(self, call: messages.KvCall) -> bool:
        """Return whether a call goes to the service itself.

        While other calls go through a peer, a renewal from time to time tries
        the service. A poll doesn't, since it may wait for a long time.
        """
        now = trio.current_time()
        if self._probe_at == float("-inf"):
            return True
        match call:
            case messages.RenewCall():
                return now >= self._probe_at
            case messages.PollCall():
                return False
            case _:
                return now >= self._probe_at + (
                    const.OTHER_RETRY_DELAY_S - const.DIRECT_RETRY_DELAY_S
                )

    async def _execute_renewal(
        self, call: messages.RenewCall
    ) -> messages.KvReply:
        """Renew a lease, also through a peer if the service is silent.

        So a cut from the service is noticed before calls time out.
        """
        replies: list[messages.KvReply] = []
        async with trio.open_nursery() as nursery:

            async def call_service() -> None:
                reply = await execute_call(self._direct, call)
                if not self._may_repeat(call, reply):
                    self._probe_at = float("-inf")
                    replies.append(reply)
                    nursery.cancel_scope.cancel()
                elif not replies:
                    failed.append(reply)
                    refused.set()

            refused = trio.Event()
            failed: list[messages.KvReply] = []
            nursery.start_soon(call_service)
            with trio.move_on_after(const.RENEWAL_HEDGE_DELAY_S):
                await refused.wait()
            relayed = await self._relay_call(call, [])
            if relayed is not None:
                detail = failed[0].detail if failed else "no response yet"
                self._start_relaying(detail)
                replies.append(relayed)
                nursery.cancel_scope.cancel()
            else:
                await refused.wait()
        return replies[0] if replies else failed[0]

    def _start_relaying(self, detail: str) -> None:
        """Let calls go through a peer, also the polls that are waiting."""
        if self._probe_at == float("-inf"):
            log_event("store_relayed", error=detail)
            self._path_changed.set()
            self._path_changed = trio.Event()
        self._probe_at = trio.current_time() + const.DIRECT_RETRY_DELAY_S

    def _may_repeat(
        self, call: messages.KvCall, reply: messages.KvReply
    ) -> bool:
        """Return whether a call that failed may be executed again.

        A call that may have taken effect may be repeated if it only reads or
        can succeed only once.
        """
        match reply.fault:
            case (
                None
                | KvFault.REFUSED
                | KvFault.NO_LEASE
                | KvFault.COMPACTED
                | KvFault.DAMAGED
            ):
                return False
            case KvFault.NOT_SENT:
                return True
            case KvFault.UNKNOWN:
                return not isinstance(call, messages.GrantCall)

    async def _relay_call(
        self, call: messages.KvCall, unknown: list[messages.KvReply]
    ) -> messages.KvReply | None:
        """Execute a call through a peer; None when no peer could.

        Replies after which the call may have taken effect are added to
        `unknown`.
        """
        if trio.current_time() < self._relay_paused_until:
            return None
        peers = self._order.sort(self._list_peers())
        for address in peers[: const.MAX_PEERS_TRIED]:
            reply = await self._peers.call_kv(address, call)
            if reply is not None and not self._may_repeat(call, reply):
                self._order.record_success(address)
                self._metrics.count("kv_calls_relayed")
                return reply
            if reply is not None and reply.fault is KvFault.UNKNOWN:
                unknown.append(reply)
            self._order.record_failure(address, trio.current_time())
        self._relay_paused_until = trio.current_time() + const.RELAY_PAUSE_S
        return None


def _unwrap_reply(
    reply: messages.KvReply,
) -> Result[messages.KvReply, KvError]:
    """Return a reply as Ok, or its fault as Err."""
    if reply.fault is not None:
        return Err(KvError(reply.fault, reply.detail))
    return Ok(reply)
