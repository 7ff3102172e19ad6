"""Support what this gateway has seen of the instances it calls."""

from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from . import const
from ..helpers.backoff import Backoff
from ..ports.sampler import InstanceLoad
from ..routing.instances import ListedInstance


@dataclass(slots=True)
class InstanceState:
    """Hold what was seen of one instance; times are in seconds."""

    in_flight: int = 0
    failures: int = 0
    avoided_until: float = 0.0
    pace_s: float = 0.0
    load: InstanceLoad | None = None
    load_at: float = 0.0

    def count_load(self, now: float) -> int:
        """Return the calls that run or wait there, as far as known."""
        if self.load is None or now - self.load_at > const.LOAD_AGE_S:
            return self.in_flight
        return max(self.in_flight, self.load.running + self.load.waiting)


class InstanceHealth:
    """Hold the states of all instances."""

    def __init__(self, rng: Random) -> None:
        """Begin with nothing seen."""
        self._rng = rng
        self._backoff = Backoff(const.AVOID_FIRST_S, const.AVOID_MOST_S)
        self._states: dict[str, InstanceState] = {}

    def find(self, name: str) -> InstanceState:
        """Return the state of an instance."""
        return self._states.setdefault(name, InstanceState())

    def keep_only(self, names: Collection[str]) -> None:
        """Forget the instances that are gone."""
        for name in [n for n in self._states if n not in names]:
            if not self._states[name].in_flight:
                del self._states[name]

    def note_answer(
        self,
        name: str,
        took_s: float,
        load: InstanceLoad | None,
        now: float,
    ) -> None:
        """Note a whole answer."""
        self.note_success(name)
        state = self.find(name)
        weight = const.PACE_WEIGHT if state.pace_s else 1.0
        state.pace_s += weight * (took_s - state.pace_s)
        self.note_load(name, load, now)

    def note_success(self, name: str) -> None:
        """Note that an instance did what it was asked for."""
        state = self.find(name)
        state.failures = 0
        state.avoided_until = 0.0

    def note_load(
        self, name: str, load: InstanceLoad | None, now: float
    ) -> None:
        """Note the load that an instance told."""
        if load is not None:
            state = self.find(name)
            state.load, state.load_at = load, now

    def note_failure(self, name: str, now: float, severe: bool = True) -> None:
        """Avoid an instance for a while, longer each time.

        A failure that is not severe, such as a broken answer, counts only
        when it comes again and again.
        """
        state = self.find(name)
        state.failures += 1
        if severe or state.failures >= const.MILD_FAILURES:
            delay_s = self._backoff.draw_delay_s(state.failures - 1, self._rng)
            state.avoided_until = now + delay_s


def choose_instance(
    instances: Iterable[ListedInstance],
    health: InstanceHealth,
    tried: Collection[str],
    zone: str,
    now: float,
    rng: Random,
) -> ListedInstance | None:
    """Choose the instance with the least expected wait.

    Instances not tried yet go first, avoided ones last; None when there is
    no instance at all.
    """
    best: ListedInstance | None = None
    best_cost: tuple[float, ...] = ()
    for instance in instances:
        state = health.find(instance.name)
        load = state.count_load(now)
        wait = (load + 1) / max(1, instance.slots) * (state.pace_s + 0.02)
        cost = (
            float(instance.name in tried),
            float(now < state.avoided_until),
            float(load >= instance.slots),
            wait,
            float(instance.zone != zone),
            rng.random(),
        )
        if best is None or cost < best_cost:
            best, best_cost = instance, cost
    return best
