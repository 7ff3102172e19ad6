"""The room at all instances, by what this gateway's calls found."""

from collections.abc import Collection
from random import Random

from ..forwarding.health import InstanceHealth
from ..ports.sampler import InstanceLoad
from ..routing.instances import ListedInstance
from ..telemetry.metrics import Metrics
from .decisions import estimate_rate_per_s
from .models import InstanceRoom
from .rooms import is_open
from .rooms import is_stalled
from .rooms import record_acceptance
from .rooms import record_end
from .rooms import record_rejection
from .rooms import record_sent


class InstanceRooms:
    """Which instances have room, and how fast they end our calls."""

    def __init__(
        self, health: InstanceHealth, metrics: Metrics, rng: Random
    ) -> None:
        """Initialize; `rng` spreads offers to instances that were full."""
        self._health = health
        self._metrics = metrics
        self._rng = rng
        self._rooms: dict[str, InstanceRoom] = {}

    def retain_only(self, names: Collection[str]) -> None:
        """Forget other instances, except those with calls in flight."""
        for name in [n for n in self._rooms if n not in names]:
            if not self._health.get_state(name).in_flight:
                del self._rooms[name]

    def list_open(
        self, instances: list[ListedInstance], is_pressed: bool, now: float
    ) -> list[ListedInstance]:
        """Return the instances with room for a call.

        Under pressure those that seem to answer nothing are left out, as long
        as others answer, even if these are full.
        """
        if is_pressed:
            instances = self.list_answering(instances, now) or instances
        return [
            instance
            for instance in instances
            if is_open(
                self._get_room(instance),
                self._health.get_state(instance.name).in_flight,
                instance.slots,
                now,
            )
        ]

    def list_answering(
        self, instances: list[ListedInstance], now: float
    ) -> list[ListedInstance]:
        """Return the instances that seem to answer calls now."""
        usual_s = self.find_usual_duration_s(instances)
        return [i for i in instances if not self._is_stuck(i, usual_s, now)]

    def has_free_slot(self, instance: ListedInstance, now: float) -> bool:
        """Return whether a call would run at once at an instance."""
        load = self._health.get_state(instance.name).count_load(now)
        return load < max(1, instance.slots)

    def estimate_rate_per_s(
        self, instances: list[ListedInstance], now: float
    ) -> float | None:
        """Return how many of our calls a second the instances end."""
        states = [
            self._health.get_state(instance.name)
            for instance in self.list_answering(instances, now)
        ]
        return estimate_rate_per_s(
            (state.in_flight, state.mean_duration_s) for state in states
        )

    def find_usual_duration_s(self, instances: list[ListedInstance]) -> float:
        """Return how long a call takes on average, 0 if unknown."""
        durations_s = [
            duration_s
            for duration_s in (
                self._health.get_state(instance.name).mean_duration_s
                for instance in instances
            )
            if duration_s
        ]
        return sum(durations_s) / max(1, len(durations_s))

    def record_sent(self, instance: ListedInstance, now: float) -> None:
        """Record a call before it is sent to an instance."""
        in_flight = self._health.get_state(instance.name).in_flight
        self._rooms[instance.name] = record_sent(
            self._get_room(instance), in_flight, now
        )

    def record_response(
        self,
        instance: ListedInstance,
        load: InstanceLoad | None,
        is_rejected: bool,
        now: float,
    ) -> None:
        """Record that an instance ran a call, or rejected it as full."""
        room = self._get_room(instance)
        if not is_rejected:
            room = record_acceptance(room, load, instance.slots, now)
        else:
            state = self._health.get_state(instance.name)
            room = record_rejection(
                room,
                load,
                state.in_flight - 1,
                instance.slots,
                state.mean_duration_s,
                self._rng.random(),
                now,
            )
            self._metrics.count("offers_rejected")
        self._rooms[instance.name] = room

    def record_end(
        self, instance: ListedInstance, responded: bool, now: float
    ) -> None:
        """Record the end of a call."""
        in_flight = self._health.get_state(instance.name).in_flight
        self._rooms[instance.name] = record_end(
            self._get_room(instance), in_flight, responded, now
        )

    def _is_stuck(
        self, instance: ListedInstance, usual_s: float, now: float
    ) -> bool:
        """Return whether an instance seems to answer no calls now."""
        state = self._health.get_state(instance.name)
        return now < state.avoided_until or is_stalled(
            self._get_room(instance), usual_s, now
        )

    def _get_room(self, instance: ListedInstance) -> InstanceRoom:
        """Return what is known of the room at an instance."""
        return self._rooms.get(instance.name, InstanceRoom())
