"""Output of commands: text by default, JSON on request."""

from dataclasses import dataclass
from dataclasses import field
import sys
from typing import Any

import msgspec

from .const import EXIT_OK


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a command: text lines, JSON data and the exit status."""

    lines: list[str]
    data: dict[str, Any] = field(default_factory=dict)
    status: int = EXIT_OK


def print_report(report: Report, as_json: bool) -> int:
    """Print a report, failures to stderr; return the exit status.

    JSON always goes to stdout.
    """
    if as_json:
        data = {"status": report.status, **report.data}
        if report.status:
            data["messages"] = report.lines
        print(msgspec.json.encode(data).decode())
        return report.status
    stream = sys.stderr if report.status else sys.stdout
    for line in report.lines:
        print(line, file=stream)
    return report.status
