"""Support structured logs: eliot messages as JSON lines."""

import sys

import eliot

from ..settings.const import STDOUT


def open_log(path: str, process: str) -> None:
    """Send log messages to a file, or to standard output."""
    if path == STDOUT:
        stream = sys.stdout
    else:
        stream = open(path, "a", encoding="utf-8", buffering=1)
    eliot.add_global_fields(process=process)
    eliot.to_file(stream)


def log_event(event: str, **fields: object) -> None:
    """Write one message."""
    eliot.log_message(message_type=event, **fields)
