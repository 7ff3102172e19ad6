"""State dump of a sidecar."""

import msgspec

from ..admin.models import BundleState
from ..bundle.const import MAX_KNOWLEDGE_AGE_S
from ..bundle.coordinator import BundleKeeper
from ..link.messages import HeldVersion
from .coordinator import SidecarCoordinator


class SidecarState(msgspec.Struct, frozen=True):
    """State of a sidecar; times are in seconds."""

    role: str
    name: str
    upstream: str
    incarnation: str
    uptime_s: float
    ready: bool
    draining: bool
    slots: int
    running: int
    queued: int
    queued_tokens: int
    tokens_per_s_per_slot: float
    records: int
    held: list[HeldVersion]
    bundle: BundleState
    counts: dict[str, int]


def describe_bundle(
    keeper: BundleKeeper,
    last_contact_at: float | None,
    now: float,
    wall_s: float,
) -> BundleState:
    """Return the state of the bundle in force.

    `last_contact_at` is the monotonic time of the last news of bundles, None
    if there was none; `wall_s` is the wall-clock time at `now`.
    """
    envelope = keeper.envelope
    in_force_for_s = None
    in_force_at_s = None
    if keeper.in_force_at is not None:
        in_force_for_s = round(now - keeper.in_force_at, 3)
        in_force_at_s = wall_s - (now - keeper.in_force_at)
    age_s = (
        None if last_contact_at is None else round(now - last_contact_at, 3)
    )
    return BundleState(
        version=keeper.version,
        digest=envelope.release.compute_digest() if envelope else "",
        epoch=keeper.epoch,
        in_force_for_s=in_force_for_s,
        knowledge_age_s=age_s,
        current=age_s is not None and age_s < MAX_KNOWLEDGE_AGE_S,
        rolled_at_s=envelope.rolled_at_s if envelope else 0.0,
        in_force_at_s=in_force_at_s,
    )


def dump_sidecar(
    coordinator: SidecarCoordinator,
    last_contact_at: float | None,
    now: float,
    wall_s: float,
) -> SidecarState:
    """Return the state of a sidecar at `now`, `wall_s` on the wall clock."""
    status = coordinator.make_status(now)
    return SidecarState(
        role="sidecar",
        name=coordinator.name,
        upstream=coordinator.upstream_name,
        incarnation=coordinator.incarnation,
        uptime_s=status.uptime_s,
        ready=status.ready,
        draining=status.draining,
        slots=status.slots,
        running=status.running,
        queued=status.queued,
        queued_tokens=status.queued_tokens,
        tokens_per_s_per_slot=round(
            coordinator.scheduler.rate.tokens_per_s_per_slot, 3
        ),
        records=len(coordinator.records),
        held=status.held_versions,
        bundle=describe_bundle(
            coordinator.keeper, last_contact_at, now, wall_s
        ),
        counts=dict(coordinator.metrics.counts),
    )
