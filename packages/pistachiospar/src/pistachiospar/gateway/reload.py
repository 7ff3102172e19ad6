"""Support settings that change while a gateway runs."""

import os
import signal

from result import Err
import trio

from . import const
from ..platform.settings import find_settings_file
from ..platform.settings import GatewaySettings
from ..platform.settings import read_gateway
from ..telemetry.logs import log_event


async def watch_settings(settings: GatewaySettings) -> None:
    """Read the settings again on SIGHUP and when the file changed.

    What a gateway takes from them is fixed for its life; a change is
    logged, and a file that can't be read changes nothing.
    """
    file = find_settings_file()
    seen_at = _read_change_time(file)
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        while True:
            told = False
            with trio.move_on_after(const.SETTINGS_POLL_S):
                await anext(signals)
                told = True
            changed_at = _read_change_time(file)
            if not told and changed_at == seen_at:
                continue
            seen_at = changed_at
            read = read_gateway(file)
            if isinstance(read, Err):
                log_event("settings_unreadable", error=read.err_value)
            else:
                log_event("reloaded", same=read.ok_value == settings)


def _read_change_time(file: str) -> float:
    """Return when a file was changed, 0 when it can't be read."""
    try:
        return os.stat(file).st_mtime
    except OSError:
        return 0.0
