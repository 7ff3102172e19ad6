"""Support walking logs from an id to what decided it."""

from collections.abc import Iterable
from dataclasses import dataclass
import json
from typing import Any
from typing import Final

from .const import EXIT_REFUSED
from .output import Report

ID_FIELDS: Final = ("request", "submission", "item")
HIDDEN_FIELDS: Final = frozenset(
    ("timestamp", "message_type", "process", "task_uuid", "task_level")
)
# What changes a process's beliefs is told beside the id's own lines.
BELIEFS: Final = frozenset(
    (
        "configuration_in_force",
        "draining",
        "holder_changed",
        "instance_gone",
        "instance_listed",
        "load_ordered",
        "role_given_back",
        "role_lapsed",
        "role_left",
        "role_taken",
        "started",
        "stopped",
        "store_lost",
        "store_regained",
        "store_relayed",
    )
)
BEFORE_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a log; the time is in seconds."""

    at_s: float
    process: str
    event: str
    fields: dict[str, Any]

    def names(self, wanted: set[str]) -> bool:
        """Return whether the line is about one of some ids."""
        return any(self.fields.get(name) in wanted for name in ID_FIELDS)


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Read log lines; what stands before a line's JSON is passed over."""
    found: list[LogLine] = []
    for text in texts:
        _, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
            line = LogLine(
                float(fields["timestamp"]),
                str(fields.get("process", "")),
                str(fields["message_type"]),
                fields,
            )
        except (ValueError, KeyError):
            continue
        found.append(line)
    return sorted(found, key=lambda line: line.at_s)


def walk(lines: list[LogLine], wanted: str) -> list[LogLine]:
    """Return an id's lines, those of its submission, and what came between.

    Only the processes that dealt with it tell their beliefs.
    """
    own = [line for line in lines if line.names({wanted})]
    if not own:
        return []
    submissions = {
        line.fields["submission"]
        for line in own
        if "submission" in line.fields
    }
    first_s, last_s = own[0].at_s - BEFORE_S, own[-1].at_s
    processes = {line.process for line in own}
    kept: list[LogLine] = []
    for line in lines:
        about_submission = (
            line.fields.get("submission") in submissions
            and "item" not in line.fields
        )
        belief = (
            line.event in BELIEFS
            and line.process in processes
            and first_s <= line.at_s <= last_s
        )
        if line.names({wanted}) or about_submission or belief:
            kept.append(line)
    return kept


def render(lines: list[LogLine]) -> list[str]:
    """Return lines for people; times count from the first of them."""
    start_s = lines[0].at_s if lines else 0.0
    rendered: list[str] = []
    for line in lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS
        )
        rendered.append(
            f"{line.at_s - start_s:9.3f} {line.process} {line.event} {fields}"
        )
    return rendered


def trace(wanted: str, files: list[str]) -> Report:
    """Walk log files from an id to what decided it."""
    texts: list[str] = []
    for file in files:
        try:
            with open(file, encoding="utf-8", errors="replace") as stream:
                texts.extend(stream)
        except OSError as error:
            return Report([f"{file}: {error.strerror}"], status=EXIT_REFUSED)
    found = walk(read_lines(texts), wanted)
    if not found:
        return Report([f"no line names {wanted}"], status=EXIT_REFUSED)
    return Report(render(found), {"lines": [line.fields for line in found]})
