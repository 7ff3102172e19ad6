"""A soak that is killed while its gateways run."""

import os
from pathlib import Path
import subprocess
import sys
import time

GATEWAYS = 3
START_TIMEOUT_S = 60.0
END_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.1


def list_children(parent: int) -> list[int]:
    """Return the processes that a process started and that still run."""
    found: list[int] = []
    for folder in Path("/proc").iterdir():
        if folder.name.isdecimal():
            state, ppid = _read_state(int(folder.name))
            if ppid == parent and state != "Z":
                found.append(int(folder.name))
    return found


def find_survivors() -> list[int]:
    """Kill a soak while its gateways run; return the gateways that remain."""
    soak = subprocess.Popen(
        [sys.executable, "-m", "bench.soak", "--seeds", "1", "--first", "7"],
        stdout=subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(Path.cwd())},
    )
    try:
        until = time.monotonic() + START_TIMEOUT_S
        gateways = list_children(soak.pid)
        while len(gateways) < GATEWAYS:
            assert time.monotonic() < until, "the gateways did not start"
            time.sleep(POLL_INTERVAL_S)
            gateways = list_children(soak.pid)
    finally:
        soak.kill()
        soak.wait()
    until = time.monotonic() + END_TIMEOUT_S
    running = gateways
    while running and time.monotonic() < until:
        time.sleep(POLL_INTERVAL_S)
        running = [pid for pid in gateways if _is_running(pid)]
    for pid in running:
        os.kill(pid, 9)
    return running


def _is_running(pid: int) -> bool:
    """Return whether a process runs; one that has ended does not."""
    return _read_state(pid)[0] not in ("", "Z")


def _read_state(pid: int) -> tuple[str, int]:
    """Return a process's state and its parent, "" and 0 without one."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except OSError:
        return "", 0
    state, ppid, *_ = text.rpartition(")")[2].split()
    return state, int(ppid)
