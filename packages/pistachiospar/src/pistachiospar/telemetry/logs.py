"""Structured logs: eliot messages as JSON lines.

Writing never blocks on a slow reader, and the lines per event and second are
limited; the number of suppressed lines is counted and logged.
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
    """Limit the lines of each event per second and count the others."""

    def __init__(self, max_per_second: int) -> None:
        """Allow `max_per_second` lines of each event."""
        self._max_per_second = max_per_second
        self._current_second = 0
        self._line_counts: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def try_admit(self, event: str, now_s: float) -> bool:
        """Count a line; return whether it may be written.

        `now_s` is Unix time; lines are counted per whole second of it.
        """
        if int(now_s) != self._current_second:
            self._current_second = int(now_s)
            self._line_counts.clear()
        self._line_counts[event] += 1
        if self._line_counts[event] <= self._max_per_second:
            return True
        self.suppressed[event] += 1
        return False

    def pop_suppressed(self) -> dict[str, int]:
        """Return and reset the number of suppressed lines by event."""
        suppressed = dict(self.suppressed)
        self.suppressed.clear()
        return suppressed


class NonBlockingWriter:
    """Write lines to a descriptor without blocking.

    Up to `max_bytes` are buffered for a slow reader; further lines are
    dropped and counted in `dropped_lines`.
    """

    def __init__(self, descriptor: int, max_bytes: int) -> None:
        """Write to an open descriptor, which stays the caller's to close."""
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped_lines = 0

    def write(self, line: bytes) -> None:
        """Write or buffer a line; drop it when the buffer is full."""
        if self._buffered_bytes + len(line) > self._max_bytes:
            self.dropped_lines += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines as long as that doesn't block."""
        while self._buffer and self._is_writable():
            line = self._buffer.popleft()
            self._buffered_bytes -= len(line)
            # A pipe that is writable accepts PIPE_BUF bytes without blocking.
            part, rest = line[: select.PIPE_BUF], line[select.PIPE_BUF :]
            written = os.write(self._descriptor, part)
            rest = part[written:] + rest
            if rest:
                self._buffer.appendleft(rest)
                self._buffered_bytes += len(rest)

    def _is_writable(self) -> bool:
        """Return whether a write would not block."""
        _, ready, _ = select.select([], [self._descriptor], [], 0)
        return bool(ready)


_limiter = LineLimiter(const.MAX_LINES_PER_SECOND)


def open_log(path: str, process: str) -> None:
    """Write log messages to a file or to standard output.

    `process` is added to each message. A file is line-buffered.
    """
    eliot.add_global_fields(process=process)
    if path == STDOUT:
        writer = NonBlockingWriter(
            sys.stdout.fileno(), const.MAX_BUFFERED_BYTES
        )
        eliot.to_file(writer)
    else:
        eliot.to_file(open(path, "a", encoding="utf-8", buffering=1))


def log_event(event: str, **fields: object) -> None:
    """Write one message, unless its event reached the limit per second."""
    now_s = time.time()
    if not _limiter.try_admit(event, now_s):
        return
    if _limiter.suppressed:
        eliot.log_message(
            message_type="lines_left_out", counts=_limiter.pop_suppressed()
        )
    eliot.log_message(message_type=event, **fields)
