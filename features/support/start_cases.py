"""The start of a gateway as `deploy/launch.py` runs it.

Pattern: all gateways are killed at once and started again while callers go
on calling. What a start does before its port is open is time in which they
are reset.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
import json
from pathlib import Path
import signal
import socket
import subprocess
import sys
from tempfile import TemporaryDirectory
import time

ROOT = Path(__file__).resolve().parent.parent.parent
LAUNCHER = ROOT / "deploy" / "launch.py"
START_TIMEOUT_S = 20.0
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n"

LIST_MODULES = """
import sys
before = set(sys.modules)
sys.path.insert(0, {folder!r})
import launch
launch.replace_address(["gateway", "--listen", "127.0.0.1:0"])
print(" ".join(sorted(set(sys.modules) - before)))
"""


@dataclass(frozen=True, slots=True)
class StartRecord:
    """What a caller that connects during a start saw.

    Times are in seconds from the launch.
    """

    connected_s: float
    started_s: float
    response: bytes


def list_modules_before_listening() -> list[str]:
    """Return the modules that are loaded before the port is open."""
    code = LIST_MODULES.format(folder=str(LAUNCHER.parent))
    done = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.split()


def find_free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@contextmanager
def launch_gateway(
    port: int, store: str = ""
) -> Iterator[subprocess.Popen[bytes]]:
    """Launch a gateway; kill it at the end.

    Its store is at the address `store`, or away.
    """
    settings = {
        "node": "n",
        "zone": "z",
        "ip": "127.0.0.1",
        "internalPorts": [find_free_port(), 65535],
        "listen": {"front": f"127.0.0.1:{port}"},
        "platform": {"address": store or f"127.0.0.1:{find_free_port()}"},
    }
    with TemporaryDirectory() as folder:
        file = Path(folder, "node.json")
        file.write_text(json.dumps(settings), encoding="utf-8")
        process = subprocess.Popen(
            [
                sys.executable,
                str(LAUNCHER),
                "gateway",
                "--settings",
                str(file),
                "--listen",
                f"127.0.0.1:{port}",
            ],
            stdout=subprocess.PIPE,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()


def connect_during_start() -> StartRecord:
    """Connect as soon as a launched gateway listens, and send a request."""
    port = find_free_port()
    launched_at = time.monotonic()
    with launch_gateway(port) as process:
        caller = connect(port, launched_at + START_TIMEOUT_S)
        connected_s = time.monotonic() - launched_at
        with caller:
            caller.sendall(REQUEST)
            assert process.stdout is not None
            while b'"started"' not in process.stdout.readline():
                assert process.poll() is None, "the gateway ended"
            started_s = time.monotonic() - launched_at
            caller.settimeout(START_TIMEOUT_S)
            return StartRecord(connected_s, started_s, caller.recv(4096))


def read_until(process: subprocess.Popen[bytes], event: bytes) -> bool:
    """Read the log up to an event; return whether it came."""
    assert process.stdout is not None
    return any(b'"%s"' % event in line for line in process.stdout)


def hang_up_during_start() -> bool:
    """Send SIGHUP once the port is open; return whether the start goes on."""
    port = find_free_port()
    with launch_gateway(port) as process:
        connect(port, time.monotonic() + START_TIMEOUT_S).close()
        process.send_signal(signal.SIGHUP)
        return read_until(process, b"started")


def terminate_twice() -> bool:
    """Send SIGTERM twice; return whether the gateway drains to its end."""
    with launch_gateway(find_free_port()) as process:
        assert read_until(process, b"started")
        process.send_signal(signal.SIGTERM)
        assert read_until(process, b"draining")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGINT)
        is_drained = read_until(process, b"stopped")
        return is_drained and process.wait(START_TIMEOUT_S) == 0


def connect(port: int, until: float) -> socket.socket:
    """Connect to a loopback port, trying until a monotonic time."""
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), 1.0)
        except ConnectionError:
            if time.monotonic() > until:
                raise
            time.sleep(0.002)
