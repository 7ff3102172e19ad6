"""Tracing of an id through a small log."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from pistachioctl.traces import trace_id

LOG_LINES: tuple[tuple[str, str, dict[str, object]], ...] = (
    ("g1", "role_taken", {"pool": "p", "fence": 3}),
    ("g2", "store_lost", {"prefix": "x"}),
    ("g1", "submission_loaded", {"submission": "s1"}),
    ("g1", "item_started", {"item": "i1", "submission": "s1"}),
    ("g1", "item_started", {"item": "i2", "submission": "s1"}),
    ("g1", "item_finished", {"item": "i1", "submission": "s1"}),
    ("g1", "submission_ended", {"submission": "s2"}),
    ("g3", "stream_attempt_started", {"request": "r1"}),
    ("g4", "stream_origin_decided", {"request": "r2", "resumes": "r1"}),
    ("g4", "call_ended", {"request": "r2"}),
    ("g4", "call_ended", {"request": "r3"}),
)


def trace_log(wanted_id: str) -> list[str]:
    """Return the events that a trace shows, or its message on failure.

    The log also has lines that aren't valid JSON, which must be ignored.
    """
    with TemporaryDirectory() as folder:
        file = Path(folder, "log")
        raw_lines = ["torn {", "no json"]
        for number, (process, event, fields) in enumerate(LOG_LINES):
            common_fields: dict[str, object] = {
                "timestamp": 100.0 + number / 10,
                "process": process,
                "message_type": event,
            }
            raw_lines.append(
                f"12.5 {process} " + json.dumps({**common_fields, **fields})
            )
        file.write_text("\n".join(raw_lines), encoding="utf-8")
        report = trace_id(wanted_id, [str(file)])
    if report.status:
        return report.lines
    return [line.split()[2] for line in report.lines]
