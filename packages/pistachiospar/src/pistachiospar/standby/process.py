"""Support a process that keeps nothing and waits to be stopped.

The platform wants a program on its instances with disks. What must last
lives in its key-value service, so that nothing needs these disks.
"""

import signal


def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT; a signal of changed settings is no end."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    while True:
        signal.pause()


def _stop(number: int, _: object) -> None:
    """End the process."""
    raise SystemExit(0)
