"""The configuration as its author wrote it, for checks before it is sent.

Messages of fields that the gateway doesn't read yet are defined here.
"""

from base64 import b64decode
import binascii
from contextlib import suppress
from hashlib import sha256

import msgspec

from ..helpers.json_positions import Path
from ..routing.check_models import ConfigDraft
from ..routing.check_models import InstanceRange
from ..routing.check_models import KeyDraft
from ..routing.check_models import OrganisationDraft
from ..routing.check_models import Place
from ..routing.check_models import RouteDraft
from ..routing.check_models import UpstreamDraft
from .manifest import is_known_kind
from .manifest import LimitsMessage
from .manifest import read_limits
from .manifest import read_route
from .manifest import read_upstream
from .manifest import RouteMessage
from .manifest import ServiceMessage


class ScaleMessage(msgspec.Struct):
    """Bounds of the number of instances in a zone."""

    min: int = 0
    max: int = 0
    bootS: float = 0


class ServiceDraftMessage(ServiceMessage):
    """A service with its number of instances."""

    scale: ScaleMessage | None = None


class TenantDraftMessage(msgspec.Struct):
    """An organisation with its keys, and digests in place of some."""

    name: str
    apiKeys: list[str] = []
    keyDigests: list[str] = []
    priority: int | None = None


class ConfigDraftMessage(msgspec.Struct):
    """The complete configuration."""

    version: int
    routes: list[RouteMessage]
    services: list[ServiceDraftMessage]
    limits: LimitsMessage
    tenants: list[TenantDraftMessage] | None = None


# Names of the data classes' fields in the configuration; times have units.
_FIELD_NAMES = {
    "upstreams": "services",
    "organisations": "tenants",
    "keys": "apiKeys",
    "shares": "split",
    "upstream": "service",
    "instances": "scale",
    "minimum": "min",
    "maximum": "max",
    "boot_s": "bootS",
    "timeout_s": "timeoutMs",
    "target_latency_s": "targetLatencyMs",
    "max_attempts": "maxAttempts",
    "result_due_s": "resultDueMs",
    "max_age_s": "maxAgeS",
    "single_version": "singleVersion",
    "max_connections": "maxConns",
    "models": "engine",
    "max_head_bytes": "maxHeaderBytes",
    "max_body_bytes": "maxBodyBytes",
    "read_timeout_s": "headerTimeoutMs",
    "idle_timeout_s": "idleTimeoutMs",
}


def translate_place(place: Place) -> Path:
    """Return the path in the configuration of a place in its draft."""
    return tuple(
        _FIELD_NAMES.get(part, part) if isinstance(part, str) else part
        for part in place
    )


def make_draft(message: ConfigDraftMessage) -> ConfigDraft:
    """Convert a configuration to its draft."""
    tenants = message.tenants
    return ConfigDraft(
        message.version,
        tuple(_make_route(route) for route in message.routes),
        tuple(_make_upstream(service) for service in message.services),
        read_limits(message.limits),
        tuple(_make_organisation(t) for t in tenants) if tenants else None,
    )


def _make_route(message: RouteMessage) -> RouteDraft:
    """Convert a route."""
    return RouteDraft(
        read_route(message),
        message.maxAttempts,
        message.service if message.split else "",
        "" if is_known_kind(message.kind) else message.kind,
    )


def _make_upstream(message: ServiceDraftMessage) -> UpstreamDraft:
    """Convert a service."""
    scale = message.scale
    if scale is None:
        return UpstreamDraft(read_upstream(message))
    instances = InstanceRange(scale.min, scale.max, scale.bootS)
    return UpstreamDraft(read_upstream(message), instances)


def _make_organisation(message: TenantDraftMessage) -> OrganisationDraft:
    """Convert an organisation; its keys become digests."""
    keys = [_make_key(key) for key in message.apiKeys]
    for encoded in message.keyDigests:
        # The reader refuses what isn't base64.
        with suppress(binascii.Error):
            digest = b64decode(encoded, validate=True).hex()
            keys.append(KeyDraft(digest, 1, True))
    return OrganisationDraft(message.name, tuple(keys), message.priority)


def _make_key(key: str) -> KeyDraft:
    """Return what may be known of a key."""
    digest = sha256(key.encode()).hexdigest()
    is_visible = key.isascii() and key.isprintable() and " " not in key
    return KeyDraft(digest, len(key), is_visible)
