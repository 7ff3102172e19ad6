"""Detection of changed settings while a gateway runs."""

import os
import signal

from result import Err
import trio

from . import const
from ..platform.settings import find_settings_file
from ..platform.settings import GatewaySettings
from ..platform.settings import read_gateway
from ..telemetry.logs import log_event


async def watch_settings(
    settings: GatewaySettings,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Read the settings again on SIGHUP and when the file changed.

    A running gateway doesn't apply changes. It only logs them, and a file
    that can't be read.
    """
    file = find_settings_file()
    seen_at = _read_change_time(file)
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        while True:
            signalled = False
            with trio.move_on_after(const.SETTINGS_POLL_INTERVAL_S):
                await anext(signals)
                signalled = True
            changed_at = _read_change_time(file)
            if not signalled and changed_at == seen_at:
                continue
            seen_at = changed_at
            read = read_gateway(file)
            if isinstance(read, Err):
                log_event("settings_unreadable", error=read.err_value)
            else:
                log_event(
                    "settings_reread", unchanged=read.ok_value == settings
                )


def _read_change_time(file: str) -> float:
    """Return a file's modification time, 0 when it can't be read."""
    try:
        return os.stat(file).st_mtime
    except OSError:
        return 0.0
