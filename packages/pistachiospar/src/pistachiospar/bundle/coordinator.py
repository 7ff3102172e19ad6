"""Support the bundle in force at one process: it never goes back.

A release is trusted when all partners of the version before it, and its
own, signed it. The partners' keys change seldom; `epoch` counts the
changes, so a process that missed versions needs only the releases that
began an epoch and the newest one.
"""

from result import Err

from ..helpers.findings import Findings
from . import signing
from .errors import Offer
from .models import Bundle
from .models import Envelope


class BundleKeeper:
    """Keep the newest trusted release of one process."""

    def __init__(self, first_partners: dict[str, str]) -> None:
        """Begin with none; `first_partners` must sign the first."""
        self._trusted = dict(first_partners)
        self._current: Envelope | None = None
        self._epochs: list[Envelope] = []
        self.in_force_at: float | None = None
        self.last_findings = Findings()

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._current.release.version if self._current else 0

    @property
    def epoch(self) -> int:
        """Return the epoch in force, 0 for none."""
        return self._current.release.epoch if self._current else 0

    @property
    def envelope(self) -> Envelope | None:
        """Return the envelope in force."""
        return self._current

    def bundle(self) -> Bundle | None:
        """Return the bundle in force."""
        return self._current.release.bundle if self._current else None

    def trusted_keys(self) -> dict[str, str]:
        """Return the keys that must sign the next release."""
        return dict(self._trusted)

    def collect_for(self, epoch: int) -> list[Envelope]:
        """Return what a process at an epoch needs, oldest first."""
        needed = [e for e in self._epochs if e.release.epoch > epoch]
        if self._current is not None and self._current not in needed:
            needed.append(self._current)
        return needed

    def offer(self, envelope: Envelope, now: float) -> Offer:
        """Take an envelope if it is newer and trusted."""
        release = envelope.release
        if release.version <= self.version:
            return Offer.NOT_NEWER
        if release.epoch > self.epoch + 1:
            return Offer.EPOCH_MISSING
        if release.epoch < self.epoch:
            return Offer.UNTRUSTED
        checked = signing.verify_envelope(envelope, self._trusted)
        if isinstance(checked, Err):
            self.last_findings = checked.err_value
            return Offer.UNTRUSTED
        keys = release.bundle.public_keys()
        if release.epoch == self.epoch and keys != self._trusted:
            return Offer.UNTRUSTED
        if release.epoch > self.epoch:
            self._epochs.append(envelope)
        self._trusted = keys
        self._current = envelope
        self.in_force_at = now
        return Offer.TAKEN
