"""The keeper's side: permits for all gateways."""

from collections.abc import Callable
from collections import OrderedDict
from dataclasses import dataclass

from . import const
from ..routing.instances import InstanceLifetime
from .messages import PermitCall
from .messages import PermitReply
from .observations import ObservedLimit
from .permits import PermitBucket


@dataclass(slots=True)
class LimitState:
    """An instance's limit, as last observed by any gateway, and permits."""

    limit: ObservedLimit
    bucket: PermitBucket


class PermitKeeper:
    """Give out the permits of the instances that this gateway keeps.

    A new keeper starts with a single permit, whatever the one before it gave
    away.
    """

    def __init__(self, read_now: Callable[[], float]) -> None:
        """Keep nothing yet; `read_now` returns monotonic seconds."""
        self._read_now = read_now
        self._states: OrderedDict[InstanceLifetime, LimitState] = OrderedDict()

    def acquire(self, call: PermitCall) -> PermitReply:
        """Take a permit for a gateway's call, or refuse it."""
        now = self._read_now()
        state = self._update_state(call, now)
        age_s = now - state.limit.observed_at
        per_s = state.limit.per_s
        if per_s is None or call.limit_per_s is None:
            return PermitReply(True, 0.0, per_s, age_s)
        decision = state.bucket.acquire(
            per_s * call.share, call.urgency, call.max_wait_s, now
        )
        return PermitReply(decision.granted, decision.wait_s, per_s, age_s)

    def _update_state(self, call: PermitCall, now: float) -> LimitState:
        """Return an instance's limit, updated by what the call says."""
        lifetime = call.get_lifetime()
        observed = ObservedLimit(call.limit_per_s, now - call.age_s)
        state = self._states.get(lifetime)
        if state is None:
            state = LimitState(observed, PermitBucket(now))
            self._states[lifetime] = state
        elif observed.observed_at >= state.limit.observed_at:
            state.limit = observed
        self._states.move_to_end(lifetime)
        while len(self._states) > const.MAX_KNOWN_LIMITS:
            self._states.popitem(last=False)
        return state
