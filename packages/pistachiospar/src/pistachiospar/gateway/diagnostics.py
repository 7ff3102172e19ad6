"""Support the state dump of a gateway."""

import msgspec

from .coordinator import GatewayCoordinator


class InstanceDump(msgspec.Struct):
    """Describe an instance as this gateway sees it."""

    name: str
    upstream: str
    leaving: bool
    in_flight: int
    failures: int


class RoleDump(msgspec.Struct):
    """Describe a role held here."""

    pool: str
    fence: int
    valid: bool
    open_submissions: int


class GatewayDump(msgspec.Struct):
    """Describe a gateway; `store_age_s` is how old its knowledge is."""

    name: str
    zone: str
    ready: bool
    configuration: int
    store_age_s: float | None
    named_versions: dict[str, int]
    holders: dict[str, str]
    roles: list[RoleDump]
    instances: list[InstanceDump]
    counts: dict[str, int]


def dump_gateway(
    gateway: GatewayCoordinator, now: float, boot_now: float
) -> GatewayDump:
    """Return what a gateway knows and does."""
    directory = gateway.directory
    heard_at = directory.configuration.heard_at
    return GatewayDump(
        gateway.identity.name,
        gateway.identity.zone,
        gateway.is_ready(now),
        directory.table.version,
        None if heard_at is None else now - heard_at,
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
        ],
        [
            InstanceDump(
                name,
                instance.upstream,
                instance.leaving,
                gateway.health.find(name).in_flight,
                gateway.health.find(name).failures,
            )
            for name, instance in directory.instances.items()
        ],
        dict(gateway.metrics.counts),
    )
