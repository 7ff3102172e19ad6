"""The limits that instances named to this gateway.

Pattern: an instance in trouble names the calls a second that it takes from
all gateways together, and some time later names none again. A response may
arrive after one to a later call.
"""

from collections import OrderedDict
from dataclasses import dataclass

from . import const
from ..routing.instances import InstanceLifetime
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics


@dataclass(slots=True)
class ObservedLimit:
    """The newest word on an instance's limit.

    `per_s` is None once it named none; `observed_at` is in monotonic seconds.
    """

    per_s: float | None
    observed_at: float


class LimitObservations:
    """The newest word of each instance's lifetime on its limit.

    Only instances that named one are known.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._limits: OrderedDict[InstanceLifetime, ObservedLimit] = (
            OrderedDict()
        )

    def find_limit(self, instance: ListedInstance) -> float | None:
        """Return the calls a second that an instance takes; None if any."""
        if not self._limits:
            return None
        observed = self._limits.get(instance.lifetime)
        return None if observed is None else observed.per_s

    def get_observation(
        self, instance: ListedInstance
    ) -> ObservedLimit | None:
        """Return the newest word on an instance's limit."""
        return self._limits.get(instance.lifetime)

    def record(
        self,
        instance: ListedInstance,
        per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what a response names; return whether the limit changed.

        A limit ends only with the response to a call that was sent after it
        was last named.
        """
        lifetime = instance.lifetime
        known = self._limits.get(lifetime)
        if per_s is None:
            is_late = known is None or sent_at < known.observed_at
            if is_late or known is None or known.per_s is None:
                return False
        before = None if known is None else known.per_s
        self._limits[lifetime] = ObservedLimit(per_s, now)
        self._limits.move_to_end(lifetime)
        while len(self._limits) > const.MAX_KNOWN_LIMITS:
            self._limits.popitem(last=False)
        if before == per_s:
            return False
        change = "ended" if per_s is None else "named"
        self._metrics.count(f"instance_limits_{change}")
        log_event(
            f"instance_limit_{change}",
            instance=instance.name,
            limit=per_s,
            before=before,
        )
        return True
