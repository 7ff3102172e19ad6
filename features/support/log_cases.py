"""Support logs before a reader that is slow, and busy seconds."""

import os
import subprocess
import sys

from pistachiospar.telemetry.exporter import MetricsExporter
from pistachiospar.telemetry.logs import LineLimiter
from pistachiospar.telemetry.logs import NonBlockingWriter
from pistachiospar.telemetry.metrics import Metrics

EARLY = "observed_around_the_exporter"
EXPORTERS = ("opentelemetry", "prometheus_client")
LINE = b"x" * 999 + b"\n"
KEPT = 50_000


def write_to_a_slow_reader(count: int) -> tuple[int, int, bytes]:
    """Write to a pipe that is read late; return dropped, left, read."""
    reader, descriptor = os.pipe()
    try:
        writer = NonBlockingWriter(descriptor, KEPT)
        for _ in range(count):
            writer.write(LINE)
        dropped_lines = writer.dropped_lines
        os.set_blocking(reader, False)
        read = b""
        while True:
            try:
                part = os.read(reader, 65_536)
            except BlockingIOError:
                break
            read += part
            writer.flush()
        return dropped_lines, writer.dropped_lines, read
    finally:
        os.close(reader)
        os.close(descriptor)


def count_admitted(most: int, lines: int) -> tuple[int, int, int]:
    """Return how many lines two seconds admit, and what is left out."""
    limiter = LineLimiter(most)
    first = sum(limiter.try_admit("a", 10.5) for _ in range(lines))
    second = sum(limiter.try_admit("a", 11.2) for _ in range(lines))
    return first, second, limiter.pop_suppressed().get("a", 0)


def find_exporters(module: str) -> list[str]:
    """Return the exporters that a module brings into a new process."""
    code = f"import sys, {module}; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded = set(done.stdout.split())
    return [name for name in EXPORTERS if name in loaded]


def count_exported(early: int, late: int) -> int:
    """Return how many durations an exporter tells of."""
    metrics = Metrics()
    for _ in range(early):
        metrics.observe(EARLY, 0.1)
    exporter = MetricsExporter(metrics, "test")
    for _ in range(late):
        metrics.observe(EARLY, 0.1)
    start = f'pistachiospar_duration_seconds_count{{of="{EARLY}"'
    lines = exporter.render().decode().splitlines()
    found = [line for line in lines if line.startswith(start)]
    return int(float(found[0].split()[-1]))
