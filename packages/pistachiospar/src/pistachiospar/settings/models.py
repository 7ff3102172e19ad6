"""Settings of entry and sidecar after validation."""

from dataclasses import dataclass

from ..adapters.http.address import Address


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings that entry and sidecar have in common.

    `first_partners` maps the partners to the public keys that must sign
    the first bundle; `drain_s` limits a graceful shutdown, in seconds.
    """

    name: str
    zone: str
    admin: Address
    log: str
    data_folder: str
    drain_s: float
    first_partners: dict[str, str]


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry."""

    process: ProcessSettings
    region: str
    listen: Address
    peer: Address
    key_value: Address
    instance_list: Address


@dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of a sidecar.

    `slots` is the number of calls that its upstream serves at once.
    """

    process: ProcessSettings
    upstream: str
    is_engine: bool
    upstream_address: Address
    data: Address
    control: Address
    slots: int
    queue_limit: int
