"""Selection of the instance for a call, and how long to wait for one."""

from collections.abc import Callable
from random import Random

import trio

from . import const
from ..limits.coordinator import InstanceLimits
from ..limits.permits import count_usable_slots
from ..ports.sampler import SamplerClient
from ..routing.instances import ListedInstance
from ..routing.instances import SoftwareOrigin
from ..routing.models import Route
from .admission import Availability
from .admission import estimate_availability
from .admission import may_wait
from .choice import choose_instance
from .health import InstanceHealth
from .models import ForwardCall


class InstanceSelector:
    """Select instances by what this gateway knows of them."""

    def __init__(
        self,
        gateway: str,
        zone: str,
        samplers: SamplerClient,
        find_instances: Callable[[str, float], list[ListedInstance]],
        health: InstanceHealth,
        limits: InstanceLimits,
        rng: Random,
    ) -> None:
        """Initialize; `gateway` is this gateway's name."""
        self._gateway = gateway
        self._zone = zone
        self._samplers = samplers
        self._find_instances = find_instances
        self._health = health
        self._limits = limits
        self._rng = rng

    def estimate_wait_s(
        self, route: Route, origin: SoftwareOrigin | None = None
    ) -> float | None:
        """Return after how many seconds an instance may accept a call.

        None when there is no instance. A text that has begun goes on at its
        `origin` only.
        """
        now = trio.current_time()
        available = self._estimate_availability(route, origin, now)
        return None if available is None else available.wait_s

    def _estimate_availability(
        self, route: Route, origin: SoftwareOrigin | None, now: float
    ) -> Availability | None:
        """Return when an instance may accept a call."""
        instances = [
            instance
            for share in route.shares
            for instance in self._list_instances(share.upstream, origin, now)
        ]
        return estimate_availability(
            instances,
            self._health,
            lambda i: self._limits.find_wait_s(i, route.priority, now),
            now,
        )

    def _list_instances(
        self, upstream: str, origin: SoftwareOrigin | None, now: float
    ) -> list[ListedInstance]:
        """Return an upstream's instances, only those of `origin` if set."""
        found = self._find_instances(upstream, now)
        if origin is None:
            return found
        return [instance for instance in found if instance.origin == origin]

    def may_wait(
        self,
        call: ForwardCall,
        permit_wait_until: float,
        origin: SoftwareOrigin | None = None,
    ) -> bool:
        """Return whether a call without an instance should wait for one.

        It waits for instances at their limit up to `permit_wait_until`.
        """
        now = trio.current_time()
        available = self._estimate_availability(call.route, origin, now)
        return may_wait(
            available, call.give_up_at - now, permit_wait_until - now
        )

    def pick_instance(
        self,
        call: ForwardCall,
        tried: set[str],
        now: float,
        origin: SoftwareOrigin | None = None,
    ) -> ListedInstance | None:
        """Return an instance for a call; None when there are none."""
        route = call.route
        if origin is None:
            upstream = choose_upstream(route, self._rng)
        else:
            upstream = origin.upstream
        open_instances = self.list_unlimited(
            upstream, route.priority, now, origin
        )
        return self.choose_among(call, open_instances, tried, now)

    def list_instances(
        self, upstream: str, now: float
    ) -> list[ListedInstance]:
        """Return an upstream's instances."""
        return self._find_instances(upstream, now)

    def list_unlimited(
        self,
        upstream: str,
        priority: int,
        now: float,
        origin: SoftwareOrigin | None = None,
    ) -> list[ListedInstance]:
        """Return the instances whose limit allows a call now."""
        return [
            instance
            for instance in self._list_instances(upstream, origin, now)
            if not self._limits.find_wait_s(instance, priority, now)
        ]

    def choose_among(
        self,
        call: ForwardCall,
        open_instances: list[ListedInstance],
        tried: set[str],
        now: float,
    ) -> ListedInstance | None:
        """Return one of an upstream's instances for a call, None without any.

        All instances are of the same upstream.
        """
        if not open_instances:
            return None
        limited = {
            instance.name
            for instance in open_instances
            if self._limits.find_limit(instance) is not None
        }
        call_class = call.classify(open_instances[0].upstream)
        estimate = self._health.costs.estimate(call_class, now)
        return choose_instance(
            open_instances,
            self._health,
            tried,
            self._zone,
            self._samplers.is_connected,
            now,
            estimate.typical_s,
            self._rng,
            limited,
        )

    def count_slots(self, route: Route) -> int:
        """Return how many calls a route's instances run at once."""
        now = trio.current_time()
        return sum(
            count_usable_slots(
                instance.slots,
                self._limits.find_limit(instance),
                self._health.get_state(instance.name).mean_duration_s
                or const.DEFAULT_DURATION_S,
            )
            for share in route.shares
            for instance in self._find_instances(share.upstream, now)
        )

    def may_hedge_at(self, instance: ListedInstance) -> bool:
        """Return whether an instance takes hedged attempts."""
        return self._limits.find_limit(instance) is None


def choose_upstream(route: Route, rng: Random) -> str:
    """Return one of a route's upstreams, drawn by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].upstream
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        # The operator's weights say nothing then; none of them is preferred.
        return rng.choice(route.shares).upstream
    return rng.choices(route.shares, weights)[0].upstream


def choose_permit_wait_s(call: ForwardCall) -> float:
    """Return for how long a call may wait for instances at their limit."""
    return const.PERMIT_WAIT_SHARE * call.route.target_latency_s
