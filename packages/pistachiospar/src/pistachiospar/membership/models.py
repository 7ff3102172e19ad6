"""The view that an entry has of an instance."""

from dataclasses import dataclass
from dataclasses import field

from ..link.messages import Status
from ..ports.instances import Instance
from .const import START_TOLERANCE_S


@dataclass(slots=True, eq=False)
class InstanceView:
    """What an entry knows of one instance; times are monotonic seconds.

    The in-flight figures count this entry's own requests and are current,
    with `call_tokens` the part of interactive calls; the status is the
    sidecar's report and lags. `missed_heartbeats` counts those since the last
    status. Slow start counts from `returned_at`, the end of an ejection or
    outage. `is_first_incarnation` is None while unknown.
    """

    instance: Instance
    status: Status | None = None
    status_at: float = 0.0
    missed_heartbeats: int = 0
    draining: bool = False
    leaving: bool = False
    in_flight: int = 0
    in_flight_tokens: int = 0
    call_tokens: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    returned_at: float = float("-inf")
    s_per_token: float = 0.0
    observed_responses: int = 0
    restarted: bool = False
    is_first_incarnation: bool | None = None
    versions: dict[str, int] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return the instance's name."""
        return self.instance.name

    @property
    def zone(self) -> str:
        """Return the instance's availability zone."""
        return self.instance.zone

    @property
    def slots(self) -> int:
        """Return the number of slots, 1 before the first status."""
        return self.status.slots if self.status is not None else 1

    def is_sidecar_as_old_as_instance(self, wall_s: float) -> bool:
        """Return whether the sidecar is about as old as the instance."""
        uptime_s = self.status.uptime_s if self.status is not None else 0.0
        return wall_s - self.instance.since_s - uptime_s <= START_TOLERANCE_S

    def is_usable(self) -> bool:
        """Return whether new work may be sent to the instance at all."""
        return (
            self.status is not None
            and self.status.ready
            and self.missed_heartbeats == 0
            and not self.draining
            and not self.leaving
        )

    def explain_unusable(self) -> str:
        """Return why the instance is not usable, empty when it is."""
        if self.leaving:
            return "leaving"
        if self.draining:
            return "draining"
        if self.status is None:
            return "not reporting yet"
        if self.missed_heartbeats:
            return "not answering heartbeats"
        return "" if self.status.ready else "upstream not ready"
