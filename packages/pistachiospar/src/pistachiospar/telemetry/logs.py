"""Support structured logs: eliot messages as JSON lines.

Writing never waits for a slow reader, and a busy second writes no more lines
of a kind than a bound; what is left out is counted and told.
"""

from collections import Counter
from collections import deque
import os
import select
import sys
import time

import eliot

from . import const
from ..settings.const import STDOUT


class LineLimiter:
    """Bound the lines of each kind in a second."""

    def __init__(self, most_a_second: int) -> None:
        """Begin with an empty second."""
        self._most = most_a_second
        self._second = 0
        self._written: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def admits(self, kind: str, now_s: float) -> bool:
        """Return whether a line may be written at a time, in seconds."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written.clear()
        self._written[kind] += 1
        if self._written[kind] <= self._most:
            return True
        self.suppressed[kind] += 1
        return False

    def take_suppressed(self) -> dict[str, int]:
        """Return and forget what was left out."""
        taken = dict(self.suppressed)
        self.suppressed.clear()
        return taken


class PatientWriter:
    """Write lines to a descriptor that may be slow; keep some, drop more."""

    def __init__(self, descriptor: int, most_bytes: int) -> None:
        """Take the descriptor and the bytes kept for a slow reader."""
        self._descriptor = descriptor
        self._most_bytes = most_bytes
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line, or keep it; drop it when too much is kept."""
        if self._size + len(line) > self._most_bytes:
            self.dropped += 1
        else:
            self._waiting.append(line)
            self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes at once."""
        while self._waiting and self._is_writable():
            line = self._waiting.popleft()
            self._size -= len(line)
            # A descriptor that is ready takes this much without waiting.
            part, rest = line[: select.PIPE_BUF], line[select.PIPE_BUF :]
            written = os.write(self._descriptor, part)
            rest = part[written:] + rest
            if rest:
                self._waiting.appendleft(rest)
                self._size += len(rest)

    def _is_writable(self) -> bool:
        """Return whether a write would not wait."""
        _, ready, _ = select.select([], [self._descriptor], [], 0)
        return bool(ready)


_limiter = LineLimiter(const.LINES_A_SECOND)


def open_log(path: str, process: str) -> None:
    """Send log messages to a file, or to standard output."""
    eliot.add_global_fields(process=process)
    if path == STDOUT:
        writer = PatientWriter(sys.stdout.fileno(), const.KEPT_BYTES)
        eliot.to_file(writer)
    else:
        eliot.to_file(open(path, "a", encoding="utf-8", buffering=1))


def log_event(event: str, **fields: object) -> None:
    """Write one message, unless the second has had enough of its kind."""
    now_s = time.time()
    if not _limiter.admits(event, now_s):
        return
    if _limiter.suppressed:
        eliot.log_message(
            message_type="lines_left_out", counts=_limiter.take_suppressed()
        )
    eliot.log_message(message_type=event, **fields)
