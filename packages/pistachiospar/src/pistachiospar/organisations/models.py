"""Data classes of organisations."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from . import const
from ..ports.kv import WATCH_POLL_TIMEOUT_S


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
    by_digest: dict[str, Organisation] = field(repr=False)


@dataclass(frozen=True, slots=True)
class KeyRules:
    """Limits on the age of the configuration by which keys are checked.

    A key that a configuration older than `confirm_within_s` doesn't have may
    be new. No key is accepted by one older than `revoke_after_s`, if set.
    """

    confirm_within_s: float = const.CONFIGURATION_APPLY_S
    revoke_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class ConfigurationAge:
    """How long ago the configuration in force was the newest one.

    `contact_s` counts from the last contact to the store, `proven_s` from
    when it was certain, also if the gateway was suspended meanwhile.
    """

    contact_s: float
    proven_s: float = 0.0


def make_key_rules(apply_s: float, revoke_s: float | None) -> KeyRules:
    """Return the rules where a configuration has to apply in `apply_s`.

    `revoke_s` is how long a removed key may be accepted without contact to
    the store, None for any time.
    """
    if revoke_s is None:
        return KeyRules(apply_s)
    return KeyRules(apply_s, max(0.0, revoke_s - const.REVOKE_MARGIN_S))


def choose_watch_wait_s(rules: KeyRules) -> float:
    """Return how long a watch of the configuration waits for changes.

    Without changes, the age of the configuration is known after each wait; a
    gateway that follows another one knows it about a second later.
    """
    if rules.revoke_after_s is None:
        return WATCH_POLL_TIMEOUT_S
    wait_s = (rules.revoke_after_s - const.FOLLOW_DELAY_S) / 2
    return min(WATCH_POLL_TIMEOUT_S, max(const.MIN_WATCH_WAIT_S, wait_s))


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
