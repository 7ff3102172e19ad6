"""Which requests are to blame for crashes.

Pattern: an instance ends under several requests, one of which crashes each
instance that runs it, while the others were only in flight. The guilty one
comes again and is there at each crash; the innocent ones are served elsewhere.
"""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from . import const

# Revision of records that are not yet in the store.
NOT_STORED: int = 2**63


class RequestStatus(Enum):
    """How a request may be sent.

    SUSPECT: without hedging. TRIAL: once, if this gateway is the one to try.
    SUSPENDED: not now.
    """

    FREE = "free"
    SUSPECT = "suspect"
    TRIAL = "trial"
    SUSPENDED = "suspended"


@dataclass(frozen=True, slots=True)
class CrashAssessment:
    """How a request may be sent, and why.

    `crashes` are those that it is blamed for. A suspended one may be sent
    after `wait_s`; `trial` is the number of its next trial.
    """

    status: RequestStatus
    crashes: int = 0
    wait_s: float = 0.0
    trial: int = 0


FREE = CrashAssessment(RequestStatus.FREE)


@dataclass(slots=True)
class CrashRecord:
    """The requests that one gateway lost in a crash, and when."""

    fingerprints: set[str]
    recorded_at: float
    revision: int


@dataclass(slots=True)
class ClearedMark:
    """A request was served after the crashes up to a revision."""

    revision: int
    recorded_at: float


@dataclass(slots=True)
class CrashTable:
    """Crashes by instance lifetime and gateway; times are monotonic."""

    _crashes: OrderedDict[str, dict[str, CrashRecord]] = field(
        default_factory=OrderedDict
    )
    _lifetimes: dict[str, set[str]] = field(default_factory=dict)
    _cleared: OrderedDict[str, ClearedMark] = field(
        default_factory=OrderedDict
    )
    _trials: OrderedDict[str, dict[int, float]] = field(
        default_factory=OrderedDict
    )

    def record(
        self,
        lifetime: str,
        gateway: str,
        fingerprints: set[str],
        now: float,
        revision: int = NOT_STORED,
    ) -> None:
        """Record the requests that a gateway lost in a crash."""
        self._prune(now)
        valid = {
            fingerprint
            for fingerprint in fingerprints
            if not self._is_cleared(fingerprint, revision)
        }
        records = self._crashes.setdefault(lifetime, {})
        known = records.get(gateway)
        if known is not None:
            # The store's answer to what was recorded here already.
            known.revision = min(known.revision, revision)
            known.fingerprints |= valid
        else:
            records[gateway] = CrashRecord(valid, now, revision)
        for fingerprint in valid:
            self._lifetimes.setdefault(fingerprint, set()).add(lifetime)

    def drop(self, lifetime: str, gateway: str) -> None:
        """Forget what a gateway recorded of a crash."""
        records = self._crashes.get(lifetime)
        if records is None or records.pop(gateway, None) is None:
            return
        if not records:
            del self._crashes[lifetime]
        self._rebuild_index()

    def clear_known(self, fingerprint: str) -> None:
        """Forget all crashes of a request that are known now."""
        self._trials.pop(fingerprint, None)
        for records in self._crashes.values():
            for record in records.values():
                record.fingerprints.discard(fingerprint)
        self._rebuild_index()

    def clear(self, fingerprint: str, revision: int, now: float) -> None:
        """Forget the crashes of a request up to a revision."""
        self._cleared[fingerprint] = ClearedMark(revision, now)
        self._trials.pop(fingerprint, None)
        for records in self._crashes.values():
            for record in records.values():
                if record.revision <= revision:
                    record.fingerprints.discard(fingerprint)
        self._rebuild_index()

    def record_trial(self, fingerprint: str, number: int, now: float) -> None:
        """Record that some gateway tries a suspended request once."""
        self._trials.setdefault(fingerprint, {}).setdefault(number, now)

    def drop_trial(self, fingerprint: str, number: int) -> None:
        """Forget a trial."""
        trials = self._trials.get(fingerprint, {})
        trials.pop(number, None)
        if not trials:
            self._trials.pop(fingerprint, None)

    def count_crashes(self, fingerprint: str) -> int:
        """Return in how many crashes a request was lost."""
        return len(self._lifetimes.get(fingerprint, ()))

    def count_blamed(self, fingerprint: str) -> int:
        """Return for how many crashes a request is to blame.

        A crash in which a request was lost that was there at more crashes is
        that one's.
        """
        own_count = self.count_crashes(fingerprint)
        return sum(
            all(
                self.count_crashes(other) <= own_count
                for record in self._crashes[lifetime].values()
                for other in record.fingerprints
            )
            for lifetime in self._lifetimes.get(fingerprint, ())
        )

    def assess(self, fingerprint: str, now: float) -> CrashAssessment:
        """Return how a request may be sent now."""
        if fingerprint not in self._lifetimes:
            return FREE
        self._prune(now)
        crashes = self.count_blamed(fingerprint)
        if not crashes:
            return FREE
        if crashes < const.MAX_CRASHES:
            return CrashAssessment(RequestStatus.SUSPECT, crashes)
        trials = self._trials.get(fingerprint, {})
        times = [
            record.recorded_at
            for lifetime in self._lifetimes[fingerprint]
            for record in self._crashes[lifetime].values()
            if fingerprint in record.fingerprints
        ]
        last_at = max([*times, *trials.values()])
        number = len(trials)
        if number >= len(const.TRIAL_DELAYS_S):
            wait_s = last_at + const.MEMORY_S - now
            return CrashAssessment(
                RequestStatus.SUSPENDED, crashes, wait_s, number
            )
        wait_s = last_at + const.TRIAL_DELAYS_S[number] - now
        if wait_s > 0:
            return CrashAssessment(
                RequestStatus.SUSPENDED, crashes, wait_s, number
            )
        return CrashAssessment(RequestStatus.TRIAL, crashes, 0.0, number)

    def _is_cleared(self, fingerprint: str, revision: int) -> bool:
        """Return whether a request was served after a revision."""
        mark = self._cleared.get(fingerprint)
        return mark is not None and revision <= mark.revision

    def _prune(self, now: float) -> None:
        """Forget what is over, and the oldest beyond the maximum."""
        since = now - const.MEMORY_S
        outdated = [
            lifetime
            for number, (lifetime, records) in enumerate(self._crashes.items())
            if number < len(self._crashes) - const.MAX_KNOWN_CRASHES
            or all(record.recorded_at < since for record in records.values())
        ]
        for lifetime in outdated:
            del self._crashes[lifetime]
        if outdated:
            self._rebuild_index()
        while self._cleared and (
            len(self._cleared) > const.MAX_KNOWN_CRASHES
            or next(iter(self._cleared.values())).recorded_at < since
        ):
            self._cleared.popitem(last=False)
        while len(self._trials) > const.MAX_KNOWN_CRASHES:
            self._trials.popitem(last=False)

    def _rebuild_index(self) -> None:
        """Index the lifetimes by request again."""
        self._lifetimes.clear()
        for lifetime, records in self._crashes.items():
            for record in records.values():
                for fingerprint in record.fingerprints:
                    self._lifetimes.setdefault(fingerprint, set()).add(
                        lifetime
                    )
