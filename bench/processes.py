"""Helpers that measure the CPU time and memory of processes, and fit lines."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
import os
from pathlib import Path
import signal
from statistics import linear_regression
import subprocess
import sys
import time
import urllib.request

from .models import Series
from .models import Table

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BIN_FOLDER = Path(sys.executable).parent
START_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class FittedLine:
    """Line fitted to points; the residual is its largest distance to one."""

    slope: float
    base: float
    residual: float

    def predict(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


def fit_series(
    table: Table,
    name: str,
    size_name: str,
    unit: str,
    sizes: list[float],
    values: list[float],
) -> FittedLine:
    """Fit a line, and add its points to the table for the plot."""
    line = fit_line(sizes, values)
    table.series.append(
        Series(name, size_name, unit, sizes, values, line.slope, line.base)
    )
    return line


def fit_line(sizes: list[float], values: list[float]) -> FittedLine:
    """Fit a line by least squares."""
    slope, base = linear_regression(sizes, values)
    residual = max(
        abs(base + slope * size - value)
        for size, value in zip(sizes, values, strict=True)
    )
    return FittedLine(slope, base, residual)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process; 0.0 if it has none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def measure_cpu_share(pid: int, seconds: float) -> float:
    """Return the share of a core that a process uses over some seconds."""
    before, started = read_cpu_s(pid), time.monotonic()
    time.sleep(seconds)
    return (read_cpu_s(pid) - before) / (time.monotonic() - started)


@contextmanager
def run_process(*command: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run a process without output; kill it at exit."""
    process = subprocess.Popen(
        command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def wait_until_ok(url: str) -> None:
    """Wait until a URL returns status 200; raises TimeoutError."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(url, timeout=2.0) as response:
                if response.status == 200:
                    return
        except OSError:
            pass
        time.sleep(0.1)
    raise TimeoutError(url)
