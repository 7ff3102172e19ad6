"""Permits that this gateway gets from the keeper of each limited instance.

Each instance that named a limit has one keeper among the gateways, the first
one of a ranking that all of them compute alike. A keeper that is gone is
replaced by the next one. One that only doesn't reply may still serve others,
so the next one gives away half of the limit.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

import trio

from . import const
from ..helpers.rendezvous import rank_names
from ..pool_holders.models import HolderRecord
from ..ports.peer_permits import PeerFailure
from ..ports.peer_permits import PeerPermits
from ..routing.instances import InstanceLifetime
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .keeper import PermitKeeper
from .messages import PermitCall
from .messages import PermitReply
from .observations import LimitObservations
from .observations import ObservedLimit
from .permits import PermitDecision


@dataclass(slots=True)
class KeeperFailure:
    """How often a keeper failed in a row, how last, and when to ask again."""

    count: int
    failure: PeerFailure
    retry_at: float


class InstanceLimits:
    """Keep this gateway's calls within the limits that instances name."""

    def __init__(
        self,
        own_name: str,
        list_members: Callable[[], Mapping[str, HolderRecord]],
        peer: PeerPermits,
        metrics: Metrics,
    ) -> None:
        """Initialize; `list_members` returns the gateways by name."""
        self._own_name = own_name
        self._list_members = list_members
        self._peer = peer
        self._metrics = metrics
        self.observations = LimitObservations(metrics)
        self.keeper = PermitKeeper(trio.current_time)
        self._refused_until: dict[tuple[InstanceLifetime, int], float] = {}
        self._failures: dict[str, KeeperFailure] = {}
        self._rankings: dict[str, tuple[frozenset[str], list[str]]] = {}
        self._ended, self._ended_queue = trio.open_memory_channel[
            ListedInstance
        ](const.MAX_QUEUED_NOTICES)

    async def run(self) -> None:
        """Tell the keepers of limits that this gateway saw end."""
        async for instance in self._ended_queue:
            observed = self.observations.get_observation(instance)
            if observed is not None and observed.per_s is None:
                await self._ask(instance, observed, 0, 0.0)

    def record(
        self, instance: ListedInstance, per_s: float | None, sent_at: float
    ) -> None:
        """Record what a response says of its instance's limit."""
        now = trio.current_time()
        if not self.observations.record(instance, per_s, sent_at, now):
            return
        if per_s is None:
            self._forget_refusals(instance.lifetime)
            try:
                self._ended.send_nowait(instance)
            except trio.WouldBlock:
                log_event("limit_end_not_passed_on", instance=instance.name)

    def find_limit(self, instance: ListedInstance) -> float | None:
        """Return the calls a second that an instance takes; None if any."""
        return self.observations.find_limit(instance)

    def find_wait_s(
        self, instance: ListedInstance, urgency: int, now: float
    ) -> float:
        """Return after how many seconds to ask for a permit again."""
        if not self._refused_until:
            return 0.0
        refused_until = self._refused_until.get((instance.lifetime, urgency))
        return 0.0 if refused_until is None else max(0.0, refused_until - now)

    async def acquire(
        self,
        instance: ListedInstance,
        urgency: int,
        max_wait_s: float,
    ) -> PermitDecision:
        """Wait until a call may be sent, for at most `max_wait_s`.

        A refusal says after how many seconds to ask again. Asking takes up to
        PERMIT_TIMEOUT_S for each of MAX_KEEPERS_ASKED that don't reply.
        """
        observed = self.observations.get_observation(instance)
        if observed is None or observed.per_s is None:
            return PermitDecision(True, 0.0)
        now = trio.current_time()
        wait_s = self.find_wait_s(instance, urgency, now)
        if wait_s > 0:
            return PermitDecision(False, wait_s)
        reply = await self._ask(instance, observed, urgency, max_wait_s)
        self._apply_newer_limit(instance, reply)
        if reply.granted:
            self._metrics.count("permits_granted")
            await trio.sleep(reply.wait_s)
            return PermitDecision(True, reply.wait_s)
        self._metrics.count("permits_refused")
        wait_s = max(
            reply.wait_s,
            const.MIN_REFUSAL_S,
            const.REFUSAL_PER_GATEWAY_S * len(self._list_members()),
        )
        key = (instance.lifetime, urgency)
        self._refused_until[key] = trio.current_time() + wait_s
        self._drop_expired_refusals()
        return PermitDecision(False, wait_s)

    async def _ask(
        self,
        instance: ListedInstance,
        observed: ObservedLimit,
        urgency: int,
        max_wait_s: float,
    ) -> PermitReply:
        """Ask the instance's keeper, or this gateway when none replies."""
        members = self._list_members()
        share, asked = 1.0, 0
        for name in self._rank_keepers(instance.name, members):
            if name == self._own_name or asked >= const.MAX_KEEPERS_ASKED:
                break
            failure = self._find_failure(name)
            if failure is None:
                asked += 1
                call = self._make_call(
                    instance, observed, urgency, max_wait_s, share
                )
                reply = await self._peer.acquire_permit(
                    members[name].peer, call
                )
                if isinstance(reply, PermitReply):
                    self._failures.pop(name, None)
                    return reply
                failure = reply
                self._record_failure(name, failure)
            if failure is PeerFailure.SILENT:
                share = max(share / 2, 1.0 / len(members))
        return self.keeper.acquire(
            self._make_call(instance, observed, urgency, max_wait_s, share)
        )

    def _make_call(
        self,
        instance: ListedInstance,
        observed: ObservedLimit,
        urgency: int,
        max_wait_s: float,
        share: float,
    ) -> PermitCall:
        """Return the call for a permit as of now."""
        return PermitCall(
            instance.name,
            instance.started_ms,
            instance.address.host,
            instance.address.port,
            observed.per_s,
            trio.current_time() - observed.observed_at,
            urgency,
            max_wait_s,
            share,
        )

    def _rank_keepers(
        self, instance: str, members: Mapping[str, HolderRecord]
    ) -> list[str]:
        """Return the gateways in the order in which they keep an instance."""
        names = frozenset(members) | {self._own_name}
        known = self._rankings.get(instance)
        if known is not None and known[0] == names:
            return known[1]
        if len(self._rankings) >= const.MAX_KNOWN_LIMITS:
            self._rankings.clear()
        ranking = rank_names(instance, names)
        self._rankings[instance] = (names, ranking)
        return ranking

    def _find_failure(self, name: str) -> PeerFailure | None:
        """Return how a keeper failed lately, None when it may be asked."""
        known = self._failures.get(name)
        if known is None or trio.current_time() >= known.retry_at:
            return None
        return known.failure

    def _record_failure(self, name: str, failure: PeerFailure) -> None:
        """Pass a keeper over for a while, and log why.

        The address of a machine that is gone for good is listed for minutes.
        A closed port is asked again soon: its process is about to restart.
        """
        known = self._failures.get(name)
        count = 1
        if known is not None and failure is PeerFailure.SILENT:
            count = known.count + 1
        delay_s = min(
            const.KEEPER_RETRY_INITIAL_S * 2.0 ** (count - 1),
            const.KEEPER_RETRY_MAX_S,
        )
        retry_at = trio.current_time() + delay_s
        self._failures[name] = KeeperFailure(count, failure, retry_at)
        self._metrics.count("permit_calls_failed")
        log_event("permit_keeper_failed", keeper=name, failure=failure.value)

    def _apply_newer_limit(
        self, instance: ListedInstance, reply: PermitReply
    ) -> None:
        """Take over a limit that another gateway observed later."""
        now = trio.current_time()
        observed_at = now - reply.age_s
        known = self.observations.get_observation(instance)
        if known is not None and observed_at > known.observed_at:
            self.observations.record(
                instance, reply.limit_per_s, observed_at, observed_at
            )
            if reply.limit_per_s is None:
                self._forget_refusals(instance.lifetime)

    def _forget_refusals(self, lifetime: InstanceLifetime) -> None:
        """Forget the refusals of an instance whose limit has ended."""
        for key in [key for key in self._refused_until if key[0] == lifetime]:
            del self._refused_until[key]

    def _drop_expired_refusals(self) -> None:
        """Drop the refusals that are over, once there are many."""
        if len(self._refused_until) <= const.MAX_KNOWN_LIMITS:
            return
        now = trio.current_time()
        self._refused_until = {
            key: until
            for key, until in self._refused_until.items()
            if until > now
        }
