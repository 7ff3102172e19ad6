"""Data classes of organisations."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from . import const


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation; `priority`, if any, replaces that of its routes."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class OrganisationTable:
    """The organisations of a configuration, by name and by key digest.

    A key that several organisations have belongs to none of them.
    """

    by_name: dict[str, Organisation]
    by_digest: dict[bytes, Organisation] = field(repr=False)


@dataclass(frozen=True, slots=True)
class KeyRules:
    """Limits on the age of the configuration by which keys are checked.

    A key that a configuration older than `confirm_within_s` doesn't have may
    be new. No key is accepted by one older than `revoke_after_s`, if set.
    """

    confirm_within_s: float = const.CONFIGURATION_APPLY_S
    revoke_after_s: float | None = None


class KeyFault(Enum):
    """Why a call's key isn't accepted; the values name the problems.

    UNCONFIRMED: it can't be checked by an up-to-date configuration.
    """

    MISSING = "key-missing"
    DUPLICATED = "key-duplicated"
    UNREADABLE = "key-unreadable"
    OVERSIZED = "key-oversized"
    UNKNOWN = "key-unknown"
    UNCONFIRMED = "configuration-unconfirmed"


@dataclass(frozen=True, slots=True)
class KeyRefusal:
    """A refused key; `detail` doesn't show it."""

    fault: KeyFault
    detail: str
