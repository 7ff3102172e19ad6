"""Cases of slow log readers, log rate limits and the metrics exporter."""

import os
import subprocess
import sys

from pistachiospar.telemetry.exporter import MetricsExporter
from pistachiospar.telemetry.logs import LineLimiter
from pistachiospar.telemetry.logs import NonBlockingWriter
from pistachiospar.telemetry.metrics import Metrics

DURATION_NAME = "observed_around_the_exporter"
EXPORTER_PACKAGES = ("opentelemetry", "prometheus_client")
LINE = b"x" * 999 + b"\n"
BUFFER_BYTES = 50_000


def write_to_slow_reader(count: int) -> tuple[int, int, bytes]:
    """Write `count` lines to a pipe and read it only afterwards.

    Return the lines dropped before and after reading, and what was read.
    """
    reader, descriptor = os.pipe()
    try:
        writer = NonBlockingWriter(descriptor, BUFFER_BYTES)
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


def count_admitted(max_per_second: int, lines: int) -> tuple[int, int, int]:
    """Return the admitted lines of two seconds, and the suppressed ones."""
    limiter = LineLimiter(max_per_second)
    first = sum(limiter.try_admit("a", 10.5) for _ in range(lines))
    second = sum(limiter.try_admit("a", 11.2) for _ in range(lines))
    return first, second, limiter.pop_suppressed().get("a", 0)


def find_exporter_imports(module: str) -> list[str]:
    """Return the exporter packages that importing a module loads."""
    code = f"import sys, {module}; print(*sys.modules)"
    process = subprocess.run(
        [sys.executable, "-c", code],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded = set(process.stdout.split())
    return [name for name in EXPORTER_PACKAGES if name in loaded]


def count_exported(early_count: int, late_count: int) -> int:
    """Return how many durations an exporter's histogram counts."""
    metrics = Metrics()
    for _ in range(early_count):
        metrics.observe(DURATION_NAME, 0.1)
    exporter = MetricsExporter(metrics, "test")
    for _ in range(late_count):
        metrics.observe(DURATION_NAME, 0.1)
    start = f'pistachiospar_duration_seconds_count{{of="{DURATION_NAME}"'
    lines = exporter.render().decode().splitlines()
    found = [line for line in lines if line.startswith(start)]
    return int(float(found[0].split()[-1]))
