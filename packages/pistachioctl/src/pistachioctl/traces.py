"""Selection of the log lines that explain the outcome of an id."""

from collections.abc import Iterable
from dataclasses import dataclass
import json
from typing import Any
from typing import Final

from .const import EXIT_REFUSED
from .output import Report

ID_FIELDS: Final = ("request", "resumes", "submission", "item")
HIDDEN_FIELDS: Final = frozenset(
    ("timestamp", "message_type", "process", "task_uuid", "task_level")
)
# Events that change the state on which a process bases its decisions; they are
# shown among the lines of the id.
STATE_CHANGE_EVENTS: Final = frozenset(
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
        "role_reacquired",
        "role_superseded",
        "role_taken",
        "started",
        "stopped",
        "store_lost",
        "store_regained",
        "store_relayed",
    )
)
CONTEXT_BEFORE_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log; `at_s` is its timestamp in seconds."""

    at_s: float
    process: str
    event: str
    fields: dict[str, Any]

    def mentions_any(self, ids: set[str]) -> bool:
        """Return whether an id field of the line has one of these ids."""
        return any(self.fields.get(name) in ids for name in ID_FIELDS)


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse log lines and sort them by time.

    Text before the JSON of a line is ignored; so are lines without valid JSON.
    """
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


def select_lines(lines: list[LogLine], wanted_id: str) -> list[LogLine]:
    """Return the lines of an id, of its submission, and state changes.

    Those of requests that resume the id's stream are included. State changes
    are those of the processes that logged the id, from CONTEXT_BEFORE_S before
    its first line until its last one.
    """
    wanted = _find_requests_of_stream(lines, wanted_id)
    id_lines = [line for line in lines if line.mentions_any(wanted)]
    if not id_lines:
        return []
    submissions = {
        line.fields["submission"]
        for line in id_lines
        if "submission" in line.fields
    }
    from_s, until_s = id_lines[0].at_s - CONTEXT_BEFORE_S, id_lines[-1].at_s
    processes = {line.process for line in id_lines}
    selected: list[LogLine] = []
    for line in lines:
        is_about_submission = (
            line.fields.get("submission") in submissions
            and "item" not in line.fields
        )
        is_state_change = (
            line.event in STATE_CHANGE_EVENTS
            and line.process in processes
            and from_s <= line.at_s <= until_s
        )
        if line.mentions_any(wanted) or is_about_submission or is_state_change:
            selected.append(line)
    return selected


def _find_requests_of_stream(lines: list[LogLine], wanted_id: str) -> set[str]:
    """Return an id with those of the requests for the same stream."""
    resumed = [line.fields for line in lines if line.fields.get("resumes")]
    first = {f["resumes"] for f in resumed if f["request"] == wanted_id}
    streams = first | {wanted_id}
    later = {f["request"] for f in resumed if f["resumes"] in streams}
    return streams | later


def format_lines(lines: list[LogLine]) -> list[str]:
    """Format lines as text; times are in seconds since the first line."""
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


def trace_id(wanted_id: str, files: list[str]) -> Report:
    """Show the lines of log files that explain the outcome of an id."""
    texts: list[str] = []
    for file in files:
        try:
            with open(file, encoding="utf-8", errors="replace") as stream:
                texts.extend(stream)
        except OSError as error:
            return Report([f"{file}: {error.strerror}"], status=EXIT_REFUSED)
    found = select_lines(read_lines(texts), wanted_id)
    if not found:
        return Report(
            [f"no log line mentions {wanted_id}"], status=EXIT_REFUSED
        )
    return Report(
        format_lines(found), {"lines": [line.fields for line in found]}
    )
