"""Counts of callers' calls at this gateway."""

from collections.abc import Callable

from . import const
from .messages import CountsMessage
from .messages import WindowCounts


class CallMeter:
    """The attempts of one caller's call that ran or may have run."""

    __slots__ = ("_recorder", "organisation", "sent_at_s", "counted")

    def __init__(self, recorder: "UsageRecorder", organisation: str) -> None:
        """Start without attempts."""
        self._recorder = recorder
        self.organisation = organisation
        self.sent_at_s: list[float] = []
        self.counted = False

    def record_sent(self) -> float:
        """Record that an attempt is sent; return its time."""
        now_s = self._recorder.read_now_s()
        self.sent_at_s.append(now_s)
        return now_s

    def record_refused(self, sent_at_s: float) -> None:
        """Record that no instance ran the attempt sent at this time."""
        self.sent_at_s.remove(sent_at_s)

    def record_first_event(self) -> None:
        """Count a stream, whose first event has arrived."""
        if not self.counted:
            self.counted = True
            self._recorder.record(
                self.organisation, self._recorder.read_now_s()
            )

    def settle(self) -> None:
        """Count the call where the first attempt that may have run began."""
        if self.sent_at_s and not self.counted:
            self.counted = True
            self._recorder.record(self.organisation, min(self.sent_at_s))


class UsageRecorder:
    """Counts by window and organisation, and which of them are durable."""

    def __init__(
        self, window_s: float, read_now_s: Callable[[], float]
    ) -> None:
        """Start without counts; `read_now_s` returns Unix time."""
        self._window_s = window_s
        self.read_now_s = read_now_s
        self.counts: WindowCounts = {}
        # The first message with the present count, 0 before the next one.
        self._unconfirmed: dict[tuple[int, str], int] = {}
        self._open_calls: set[CallMeter] = set()
        self._sequence = 0

    def open_call(self, organisation: str) -> CallMeter:
        """Return the meter of a new call; `close_call` ends it."""
        meter = CallMeter(self, organisation)
        self._open_calls.add(meter)
        return meter

    def close_call(self, meter: CallMeter) -> None:
        """Count a call that has ended, unless no instance ran it."""
        self._open_calls.discard(meter)
        meter.settle()

    def record(self, organisation: str, began_at_s: float) -> None:
        """Count one call that began to run at a Unix time."""
        window = int(began_at_s // self._window_s)
        counts = self.counts.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1
        self._unconfirmed[window, organisation] = 0

    def settle_long_calls(self, now_s: float) -> None:
        """Count the calls that have run for long, before their end.

        Their window is fixed before some of them end.
        """
        limit_s = now_s - const.MAX_UNDECIDED_S
        for meter in self._open_calls:
            if meter.sent_at_s and min(meter.sent_at_s) < limit_s:
                meter.settle()

    def find_complete_until(self, now_s: float) -> float:
        """Return the time up to which all calls are counted."""
        return min(
            (
                min(meter.sent_at_s)
                for meter in self._open_calls
                if meter.sent_at_s and not meter.counted
            ),
            default=now_s,
        )

    def has_unconfirmed(self) -> bool:
        """Return whether some counts may not be durable."""
        return bool(self._unconfirmed)

    def count_unconfirmed(self) -> int:
        """Return the number of counts that may not be durable."""
        return len(self._unconfirmed)

    def make_message(self, gateway: str, life: str) -> CountsMessage:
        """Return a message with all counts that may not be durable."""
        self._sequence += 1
        counts: WindowCounts = {}
        for (window, organisation), first in self._unconfirmed.items():
            if not first:
                self._unconfirmed[window, organisation] = self._sequence
            counts.setdefault(window, {})[organisation] = self.counts[window][
                organisation
            ]
        complete_until_s = self.find_complete_until(self.read_now_s())
        return CountsMessage(
            gateway, life, self._sequence, complete_until_s, counts
        )

    def confirm(self, durable_sequence: int) -> None:
        """Record that the counts of a message and those before are durable.

        Each message has all counts that aren't.
        """
        self._unconfirmed = {
            entry: first
            for entry, first in self._unconfirmed.items()
            if not 0 < first <= durable_sequence
        }

    def drop_old(self, now_s: float) -> None:
        """Drop the durable counts of windows that are long over."""
        oldest = int(now_s // self._window_s) - const.KEPT_WINDOWS
        old = {window for window in self.counts if window < oldest}
        if old:
            old -= {window for window, _ in self._unconfirmed}
            for window in old:
                del self.counts[window]
