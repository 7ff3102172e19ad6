"""Data classes of the checks of a configuration."""

from dataclasses import dataclass
from enum import Enum

from .models import CallerLimits
from .models import Route
from .models import UpstreamConfig

Place = tuple[str | int, ...]


class Severity(Enum):
    """Whether a configuration may be sent with this finding."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class ConfigFinding:
    """A fault in a configuration.

    `subject` names what it is about, `place` is where it stands in the data
    classes, for example ("routes", 3, "timeout_s").
    """

    severity: Severity
    code: str
    subject: str
    place: Place
    message: str


@dataclass(frozen=True, slots=True)
class InstanceRange:
    """Bounds of the number of an upstream's instances in a zone."""

    minimum: int
    maximum: int
    boot_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RouteDraft:
    """A route as it is written.

    `max_attempts` may be below 1, which the route raises to 1. With
    `ignored_upstream` the route names an upstream beside its shares, with
    `unknown_kind` a kind that makes its calls unsafe.
    """

    route: Route
    max_attempts: int
    ignored_upstream: str = ""
    unknown_kind: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamDraft:
    """An upstream as it is written."""

    config: UpstreamConfig
    instances: InstanceRange | None = None


@dataclass(frozen=True, slots=True)
class KeyDraft:
    """An organisation's key: its SHA-256 in hex, and what limits its use."""

    digest: str
    length: int
    is_visible_ascii: bool


@dataclass(frozen=True, slots=True)
class OrganisationDraft:
    """An organisation as it is written; None is no priority of its own."""

    name: str
    keys: tuple[KeyDraft, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ConfigDraft:
    """A configuration as it is written, with what a table merges.

    `organisations` is None when the configuration doesn't name any.
    """

    version: int
    routes: tuple[RouteDraft, ...] = ()
    upstreams: tuple[UpstreamDraft, ...] = ()
    limits: CallerLimits | None = None
    organisations: tuple[OrganisationDraft, ...] | None = None
