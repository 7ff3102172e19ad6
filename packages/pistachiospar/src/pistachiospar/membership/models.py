"""Data classes of membership."""

from dataclasses import dataclass
from dataclasses import field

from ..link.messages import Status
from ..ports.instances import Instance
from .const import START_SLACK_S


@dataclass(slots=True, eq=False)
class InstanceView:
    """Hold what an entry knows of one instance.

    In-flight figures are first-hand, from this entry's own requests, with
    `call_tokens` the part of interactive calls; the
    status is a report and lags. Times are monotonic seconds.
    """

    instance: Instance
    status: Status | None = None
    status_at: float = 0.0
    missed: int = 0
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
    observed: int = 0
    restarted: bool = False
    first_life: bool | None = None
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
        """Return the calls it serves at once."""
        return self.status.slots if self.status is not None else 1

    def is_young(self, wall_s: float) -> bool:
        """Return whether its sidecar is about as old as the instance."""
        uptime_s = self.status.uptime_s if self.status is not None else 0.0
        return wall_s - self.instance.since_s - uptime_s <= START_SLACK_S

    def is_usable(self) -> bool:
        """Return whether new work may go there at all."""
        return (
            self.status is not None
            and self.status.ready
            and self.missed == 0
            and not self.draining
            and not self.leaving
        )

    def why_not_usable(self) -> str:
        """Return why no new work may go there."""
        if self.leaving:
            return "leaving"
        if self.draining:
            return "draining"
        if self.status is None:
            return "never heard"
        if self.missed:
            return "silent"
        return "" if self.status.ready else "upstream not ready"
