"""Support logs before a reader that is slow, and busy seconds."""

import os

from pistachiospar.telemetry.logs import LineLimiter
from pistachiospar.telemetry.logs import PatientWriter

LINE = b"x" * 999 + b"\n"
KEPT = 50_000


def write_to_a_slow_reader(count: int) -> tuple[int, int, bytes]:
    """Write to a pipe that is read late; return dropped, left, read."""
    reader, descriptor = os.pipe()
    try:
        writer = PatientWriter(descriptor, KEPT)
        for _ in range(count):
            writer.write(LINE)
        dropped = writer.dropped
        os.set_blocking(reader, False)
        read = b""
        while True:
            try:
                part = os.read(reader, 65_536)
            except BlockingIOError:
                break
            read += part
            writer.flush()
        return dropped, writer.dropped, read
    finally:
        os.close(reader)
        os.close(descriptor)


def count_admitted(most: int, lines: int) -> tuple[int, int, int]:
    """Return how many lines two seconds admit, and what is left out."""
    limiter = LineLimiter(most)
    first = sum(limiter.admits("a", 10.5) for _ in range(lines))
    second = sum(limiter.admits("a", 11.2) for _ in range(lines))
    return first, second, limiter.take_suppressed().get("a", 0)
