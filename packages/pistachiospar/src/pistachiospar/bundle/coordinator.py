"""The bundle in force at one process; its version never decreases.

A release is trusted when all partners of the previous version, and all of its
own, have signed it. The partners' keys rarely change; `epoch` counts the
changes, so a process that missed versions needs only the first release of each
epoch and the newest release.
"""

from result import Err

from ..helpers.findings import Findings
from . import signing
from .models import Bundle
from .models import Envelope
from .results import OfferResult


class BundleKeeper:
    """Keep the newest trusted release that one process was offered."""

    def __init__(self, first_partners: dict[str, str]) -> None:
        """Start without a release.

        `first_partners` maps the names of the partners that must sign the
        first release to their public keys.
        """
        self._trusted_keys = dict(first_partners)
        self._current: Envelope | None = None
        self._epoch_envelopes: list[Envelope] = []
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
        """Return the envelope in force, None for none."""
        return self._current

    def get_bundle(self) -> Bundle | None:
        """Return the bundle in force, None for none."""
        return self._current.release.bundle if self._current else None

    def get_trusted_keys(self) -> dict[str, str]:
        """Return the keys that must sign the next release, by partner."""
        return dict(self._trusted_keys)

    def collect_envelopes_after(self, epoch: int) -> list[Envelope]:
        """Return the envelopes that a process at `epoch` needs, oldest first.

        They are the first of each later epoch and the one in force.
        """
        needed = [e for e in self._epoch_envelopes if e.release.epoch > epoch]
        if self._current is not None and self._current not in needed:
            needed.append(self._current)
        return needed

    def offer_envelope(self, envelope: Envelope, now: float) -> OfferResult:
        """Put an envelope in force if it is newer and trusted."""
        release = envelope.release
        if release.version <= self.version:
            return OfferResult.NOT_NEWER
        if release.epoch > self.epoch + 1:
            return OfferResult.EPOCH_MISSING
        if release.epoch < self.epoch:
            return OfferResult.UNTRUSTED
        checked = signing.verify_envelope(envelope, self._trusted_keys)
        if isinstance(checked, Err):
            self.last_findings = checked.err_value
            return OfferResult.UNTRUSTED
        keys = release.bundle.get_public_keys()
        if release.epoch == self.epoch and keys != self._trusted_keys:
            return OfferResult.UNTRUSTED
        if release.epoch > self.epoch:
            self._epoch_envelopes.append(envelope)
        self._trusted_keys = keys
        self._current = envelope
        self.in_force_at = now
        return OfferResult.ACCEPTED
