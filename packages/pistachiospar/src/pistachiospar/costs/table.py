"""What calls cost, by upstream, route and class."""

from collections import OrderedDict
import math

from . import const
from .decisions import blend_averages
from .decisions import LogAverage
from .decisions import record_value
from .models import CallClass
from .models import CostEstimate

CostKey = CallClass | tuple[str, ...]


class CostTable:
    """Estimates of what calls cost; the classes not seen longest go first."""

    def __init__(self, max_classes: int = const.MAX_CLASSES) -> None:
        """Start without observations."""
        self._max_classes = max_classes
        self._averages: OrderedDict[CostKey, LogAverage] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of averages that are kept."""
        return len(self._averages)

    def record(
        self,
        call: CallClass,
        cost_s: float,
        now: float,
        is_upper_bound: bool = False,
    ) -> None:
        """Record what a call cost, in seconds of a slot at pace 1.0."""
        for key in _list_keys(call):
            self._averages[key] = record_value(
                self._averages.get(key), cost_s, now, is_upper_bound
            )
            self._averages.move_to_end(key)
        while len(self._averages) > self._max_classes:
            self._averages.popitem(last=False)

    def estimate(self, call: CallClass, now: float) -> CostEstimate:
        """Return what a call is expected to cost.

        A new class starts from its route's estimate, a new route from its
        upstream's.
        """
        averages = [self._averages.get(key) for key in _list_keys(call)]
        mean, spread = blend_averages(averages, now)
        seen_at = [a.updated_at for a in averages if a is not None]
        age_s = now - seen_at[-1] if seen_at else None
        return CostEstimate(math.exp(mean), spread, age_s)

    def estimate_upstream_s(self, upstream: str, now: float) -> float:
        """Return what any call to an upstream is expected to cost."""
        mean, _ = blend_averages([self._averages.get((upstream,))], now)
        return math.exp(mean)


def _list_keys(call: CallClass) -> list[CostKey]:
    """Return a call's keys, from the upstream to the class."""
    return [(call.upstream,), (call.upstream, call.route), call]
