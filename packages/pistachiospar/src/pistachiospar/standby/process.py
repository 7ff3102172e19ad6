"""A process that does nothing and waits to be stopped.

The platform requires a program on its instances with disks. All durable
state is in its key-value service, so these disks aren't needed.
"""

import signal


def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT, which exit the process with status 0.

    SIGHUP, sent when settings changed, is ignored.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _exit)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    while True:
        signal.pause()


def _exit(number: int, _: object) -> None:
    """Exit with status 0."""
    raise SystemExit(0)
