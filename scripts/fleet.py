"""Control of the processes of a deployment: start, stop, kill, readiness."""

from collections.abc import Iterator
from contextlib import contextmanager
import os
from pathlib import Path
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from deployment import Deployment
from deployment import ProcessPlan

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0


class Fleet:
    """Running processes of a deployment, by name."""

    def __init__(self, deployment: Deployment) -> None:
        """Take the processes to run from the deployment; start none yet."""
        self.deployment = deployment
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start_all(self) -> None:
        """Start all processes, the platform's stand-ins first."""
        order = ("kv", "weights", "instances", "engine", "service")
        for kind in (*order, "sidecar", "entry"):
            for plan in self.deployment.processes:
                if plan.kind == kind:
                    self.start(plan.name)

    def start(self, name: str) -> None:
        """Start one process; its output goes to a log in the folder."""
        plan = self.deployment.find_process(name)
        log = self.deployment.folder / f"{name}.log"
        with open(log, "ab") as stream:
            self.running[name] = subprocess.Popen(
                make_command(plan), stdout=stream, stderr=stream
            )

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Stop one process with SIGTERM; return its exit status."""
        process = self.running.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def stop_all(self) -> dict[str, int]:
        """Stop all processes, the last started first; return exit statuses.

        A process that doesn't end in time is killed.
        """
        statuses: dict[str, int] = {}
        for name in reversed(list(self.running)):
            self.running[name].send_signal(signal.SIGTERM)
        for name in list(self.running):
            process = self.running.pop(name)
            try:
                statuses[name] = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                statuses[name] = process.wait()
        return statuses

    def wait_ready(self, kind: str) -> None:
        """Wait until all processes of a kind are ready.

        Raises TimeoutError after START_TIMEOUT_S.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        for plan in self.deployment.processes:
            if plan.kind != kind:
                continue
            while not is_ready(plan.admin):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{plan.name} did not become ready")
                time.sleep(0.05)


def make_command(plan: ProcessPlan) -> list[str]:
    """Return the command line of a process."""
    folder = Path(sys.executable).parent
    settings = ["--settings", str(plan.settings)]
    if plan.kind in ("entry", "sidecar"):
        return [str(folder / "pistachiospard"), plan.kind, *settings]
    module = [sys.executable, "-m", "pistachiospar_standins", plan.kind]
    return [*module, "--listen", plan.listen, *settings]


def is_ready(admin: str) -> bool:
    """Return whether a process reports that it is ready."""
    try:
        url = f"http://{admin}/readyz"
        with urllib.request.urlopen(url, timeout=2.0) as response:
            return bool(response.status == 200)
    except (urllib.error.URLError, OSError):
        return False


@contextmanager
def run_fleet(deployment: Deployment) -> Iterator[Fleet]:
    """Run all processes; kill those still running at exit."""
    fleet = Fleet(deployment)
    try:
        fleet.start_all()
        yield fleet
    finally:
        for process in fleet.running.values():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
