"""The state dump of an entry, served on the admin port."""

import msgspec

from ..admin.models import BundleState
from ..bundle.coordinator import BundleKeeper
from ..live_state.coordinator import LiveCoordinator
from ..live_state.models import AnnouncedWeights
from ..membership.coordinator import MembershipCoordinator
from ..membership.models import InstanceView
from ..sidecar.diagnostics import describe_bundle
from ..telemetry.metrics import Metrics
from ..trainers.coordinator import StepCoordinator


class LinkState(msgspec.Struct, frozen=True):
    """The state of one link; `heard_ago_s` is None before a status.

    `why_not` says why the instance is not usable.
    """

    instance: str
    upstream: str
    zone: str
    admin_hint: str
    usable: bool
    why_not: str
    bundle_version: int
    incarnation: str
    heard_ago_s: float | None
    in_flight: int
    in_flight_tokens: int
    reported_queued: int
    ejected_for_s: float
    ms_per_token: float
    versions: dict[str, int]


class StepStateDump(msgspec.Struct, frozen=True):
    """The state of one step; the counts are samples."""

    trainer: str
    step: str
    samples: int
    ready: int
    taken: int
    pending: int
    running: int
    stale_dropped: int
    hedged_tokens: int
    starved_reason: str


class EntryState(msgspec.Struct, frozen=True):
    """The state of an entry; `active` counts the requests being served."""

    role: str
    name: str
    zone: str
    ready: bool
    draining: bool
    uptime_s: float
    active: int
    lease_valid: bool
    bundle: BundleState
    entries: list[str]
    links: list[LinkState]
    weights: dict[str, AnnouncedWeights]
    steps: list[StepStateDump]
    counts: dict[str, int]


def describe_link(view: InstanceView, now: float) -> LinkState:
    """Return the state of one link."""
    status = view.status
    return LinkState(
        instance=view.name,
        upstream=view.instance.upstream,
        zone=view.zone,
        admin_hint=view.instance.control,
        usable=view.is_usable(),
        why_not=view.explain_unusable(),
        bundle_version=status.bundle_version if status else 0,
        incarnation=status.incarnation if status else "",
        heard_ago_s=round(now - view.status_at, 3) if status else None,
        in_flight=view.in_flight,
        in_flight_tokens=view.in_flight_tokens,
        reported_queued=status.queued if status else 0,
        ejected_for_s=round(max(0.0, view.ejected_until - now), 3),
        ms_per_token=round(view.s_per_token * 1000.0, 4),
        versions=dict(view.versions),
    )


def describe_steps(steps: StepCoordinator) -> list[StepStateDump]:
    """Return the state of all steps."""
    states: list[StepStateDump] = []
    for key, owned in steps.steps.items():
        runner = steps.runners.get(key)
        states.append(
            StepStateDump(
                trainer=owned.trainer,
                step=owned.step,
                samples=len(owned.jobs),
                ready=len(owned.samples),
                taken=len(owned.discarded),
                pending=len(runner.pending) if runner else 0,
                running=len(runner.running) if runner else 0,
                stale_dropped=owned.stale_dropped,
                hedged_tokens=runner.hedged_tokens if runner else 0,
                starved_reason=runner.starved_reason if runner else "",
            )
        )
    return states


class EntryDump:
    """Collect the state of an entry's parts."""

    def __init__(
        self,
        name: str,
        zone: str,
        started_at: float,
        keeper: BundleKeeper,
        live: LiveCoordinator,
        membership: MembershipCoordinator,
        steps: StepCoordinator,
        metrics: Metrics,
    ) -> None:
        """Use an entry's parts; `started_at` is monotonic seconds."""
        self._name = name
        self._zone = zone
        self._started_at = started_at
        self._keeper = keeper
        self._live = live
        self._membership = membership
        self._steps = steps
        self._metrics = metrics

    def collect_state(
        self,
        now: float,
        wall_s: float,
        ready: bool,
        draining: bool,
        active: int,
        lease_valid: bool,
    ) -> EntryState:
        """Return the state; `now` is monotonic, `wall_s` wall-clock."""
        peers = self._membership.peers.values()
        return EntryState(
            role="entry",
            name=self._name,
            zone=self._zone,
            ready=ready,
            draining=draining,
            uptime_s=round(now - self._started_at, 3),
            active=active,
            lease_valid=lease_valid,
            bundle=describe_bundle(
                self._keeper, self._live.last_success_at, now, wall_s
            ),
            entries=sorted(self._live.entries),
            links=[describe_link(peer.view, now) for peer in peers],
            weights=dict(self._live.weights),
            steps=describe_steps(self._steps),
            counts=dict(self._metrics.counts),
        )
