"""Support walking a small log from an id."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from pistachioctl.traces import trace_id

LINES: tuple[tuple[str, str, dict[str, object]], ...] = (
    ("g1", "role_taken", {"pool": "p", "fence": 3}),
    ("g2", "store_lost", {"prefix": "x"}),
    ("g1", "submission_loaded", {"submission": "s1"}),
    ("g1", "item_started", {"item": "i1", "submission": "s1"}),
    ("g1", "item_started", {"item": "i2", "submission": "s1"}),
    ("g1", "item_finished", {"item": "i1", "submission": "s1"}),
    ("g1", "submission_ended", {"submission": "s2"}),
)


def walk_log(wanted: str) -> list[str]:
    """Return the kinds of lines that a walk shows; torn lines are no harm."""
    with TemporaryDirectory() as folder:
        file = Path(folder, "log")
        texts = ["torn {", "no json"]
        for number, (process, kind, fields) in enumerate(LINES):
            known: dict[str, object] = {
                "timestamp": 100.0 + number / 10,
                "process": process,
                "message_type": kind,
            }
            texts.append(f"12.5 {process} " + json.dumps({**known, **fields}))
        file.write_text("\n".join(texts), encoding="utf-8")
        report = trace_id(wanted, [str(file)])
    if report.status:
        return report.lines
    return [line.split()[2] for line in report.lines]
