"""Support a key-value port that goes through a peer when turned away.

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
from .base import Changes
from .base import PolledKeyValue
from .calls import make_call
from .calls import PollingKeyValue


class RelayedKeyValue(PolledKeyValue):
    """Call the service, or have a peer call it."""

    def __init__(
        self,
        direct: PollingKeyValue,
        peer: PeerKeyValue,
        list_peers: Callable[[], list[str]],
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Begin with the service itself."""
        self._direct = direct
        self._peer = peer
        self._list_peers = list_peers
        self._metrics = metrics
        self._rng = rng
        self._relayed_until = float("-inf")
        self._paused_until = float("-inf")

    async def list_items(
        self, prefix: str
    ) -> Result[tuple[list[KvItem], int], KvError]:
        """Return the items below a prefix and the store's revision."""
        reply = await self._call(messages.ListCall(prefix))
        return reply.map(lambda got: (got.items, got.number))

    async def get_item(self, key: str) -> Result[KvItem | None, KvError]:
        """Return one item, or None."""
        reply = await self._call(messages.GetCall(key))
        return reply.map(lambda got: next(iter(got.items), None))

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Carry out a transaction if all its checks hold."""
        reply = await self._call(messages.CommitCall(transaction))
        return reply.map(lambda got: KvWriteResult(got.won, got.number))

    async def grant_lease(self, ttl_s: float) -> Result[int, KvError]:
        """Return a new lease's number."""
        reply = await self._call(messages.GrantCall(ttl_s))
        return reply.map(lambda got: got.number)

    async def renew_lease(self, lease: int) -> Result[float, KvError]:
        """Renew a lease; return the seconds left, 0 when it lapsed."""
        reply = await self._call(messages.KeepCall(lease))
        return reply.map(lambda got: got.seconds)

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Give a lease back."""
        reply = await self._call(messages.RevokeCall(lease))
        return reply.map(lambda _: None)

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_POLL_TIMEOUT_S
    ) -> Result[Changes, KvError]:
        """Return the changes after a revision, and where to go on."""
        reply = await self._call(messages.PollCall(prefix, after, wait_s))
        return reply.map(lambda got: (got.events, got.number))

    async def _call(
        self, call: messages.KvCall
    ) -> Result[messages.KvReply, KvError]:
        """Make a call, by way of a peer while the service refuses."""
        now = trio.current_time()
        if now < self._relayed_until:
            relayed = await self._relay(call)
            if relayed is not None:
                return _read(relayed)
        elif self._relayed_until > 0:
            # One call asks the service itself; the others stay with peers.
            self._relayed_until = now + const.PROBE_S
        reply = await make_call(self._direct, call)
        if not self._may_relay(call, reply):
            self._relayed_until = float("-inf")
            return _read(reply)
        relayed = await self._relay(call)
        if relayed is None:
            return _read(reply)
        log_event("store_relayed", error=reply.detail)
        self._relayed_until = trio.current_time() + const.RELAY_S
        return _read(relayed)

    def _may_relay(
        self, call: messages.KvCall, reply: messages.KvReply
    ) -> bool:
        """Return whether a call that failed may be made again.

        One that may have taken effect may be, if it only reads or can win
        only once.
        """
        match reply.fault:
            case None | KvFault.NO_LEASE:
                return False
            case KvFault.NOT_SENT:
                return True
            case KvFault.UNKNOWN:
                return not isinstance(call, messages.GrantCall)

    async def _relay(self, call: messages.KvCall) -> messages.KvReply | None:
        """Have a peer make a call; None when none could."""
        if trio.current_time() < self._paused_until:
            return None
        peers = self._list_peers()
        self._rng.shuffle(peers)
        for address in peers[: const.PEERS_TRIED]:
            reply = await self._peer.call_kv(address, call)
            if reply is not None and reply.fault in (None, KvFault.NO_LEASE):
                self._metrics.count("kv_calls_relayed")
                return reply
        self._paused_until = trio.current_time() + const.PAUSE_S
        return None


def _read(reply: messages.KvReply) -> Result[messages.KvReply, KvError]:
    """Return a reply, or its fault."""
    if reply.fault is not None:
        return Err(KvError(reply.fault, reply.detail))
    return Ok(reply)
