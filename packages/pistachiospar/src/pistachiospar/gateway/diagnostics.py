"""State dump of a gateway."""

import msgspec

from ..duties.models import is_duty
from ..usage.coordinator import UsageCoordinator
from .coordinator import GatewayCoordinator


class InstanceDump(msgspec.Struct):
    """An instance as seen by this gateway.

    `leaving` is what the list says, `announced_leaving` what the instance
    said itself. `limit_per_s` is the limit of calls that it names, None
    without one.
    """

    name: str
    upstream: str
    leaving: bool
    announced_leaving: bool
    in_flight: int
    failures: int
    limit_per_s: float | None


class RoleDump(msgspec.Struct):
    """A pool that this gateway holds."""

    pool: str
    fence: int
    valid: bool
    open_submissions: int


class WindowDump(msgspec.Struct):
    """A window of the usage report that this gateway fixed.

    `reported` is whether the report was acknowledged.
    """

    window: int
    calls: int
    organisations: int
    reported: bool


class UsageDump(msgspec.Struct):
    """The duty of usage reports.

    `reason` is why this gateway may make no call now, empty when it may.
    `unconfirmed` is the number of its own counts that may not be durable.
    """

    holder: str
    fence: int
    reason: str
    unconfirmed: int
    next_window: int | None
    pending: list[int]
    windows: list[WindowDump]


class GatewayDump(msgspec.Struct):
    """State of a gateway.

    `store_age_s` is the time since the key-value service last responded,
    None before its first response. `watch_source` is the gateway through
    which changes arrive, empty when this one watches the service itself.
    `damaged_submissions` lack results in the durable record.
    """

    name: str
    zone: str
    ready: bool
    configuration: int
    store_age_s: float | None
    watch_source: str
    damaged_submissions: list[str]
    named_versions: dict[str, int]
    holders: dict[str, str]
    roles: list[RoleDump]
    usage: UsageDump | None
    instances: list[InstanceDump]
    counts: dict[str, int]


def dump_usage(usage: UsageCoordinator) -> UsageDump:
    """Return the state of the usage reports."""
    term = usage.term
    return UsageDump(
        usage.find_holder(),
        usage.guard.fence,
        usage.guard.explain_refusal(),
        usage.recorder.count_unconfirmed(),
        term.ledger.next_window if term else None,
        sorted(term.pending) if term else [],
        [
            WindowDump(
                fixed.window,
                fixed.calls,
                fixed.organisations,
                fixed.window not in term.pending,
            )
            for fixed in term.fixed
        ]
        if term
        else [],
    )


def dump_gateway(
    gateway: GatewayCoordinator, now: float, boot_now: float
) -> GatewayDump:
    """Return a gateway's state.

    `now` is in monotonic seconds, `boot_now` also counts suspensions.
    """
    directory = gateway.directory
    last_success_at = directory.configuration_mirror.last_success_at
    return GatewayDump(
        gateway.identity.name,
        gateway.identity.zone,
        gateway.is_ready(now),
        directory.table.version,
        None if last_success_at is None else now - last_success_at,
        gateway.watch_relay.source_name,
        sorted(gateway.archive.damaged),
        dict(directory.named_versions),
        {p: record.gateway for p, record in gateway.holders.holders.items()},
        [
            RoleDump(
                pool,
                role.fence,
                role.is_valid(boot_now),
                len(gateway.pools[pool].registry.list_open()),
            )
            for pool, role in gateway.holders.roles.items()
            if not is_duty(pool)
        ],
        dump_usage(gateway.duties.usage) if gateway.duties.usage else None,
        [
            InstanceDump(
                name,
                instance.upstream,
                instance.leaving,
                directory.announcements.is_leaving(instance),
                gateway.health.get_state(name).in_flight,
                gateway.health.get_state(name).failures,
                gateway.limits.find_limit(instance),
            )
            for name, instance in directory.instances.items()
        ],
        dict(gateway.metrics.counts),
    )
