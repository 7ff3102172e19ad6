"""Check of the log lines that gateways write in failure cases."""

from typing import Any

import eliot
from pistachioctl.traces import ID_FIELDS

from .gateway_cases import run_case

CASES = (
    "no reachable instance: refused before the deadline",
    "no response: unknown outcome before the deadline",
    "a refused submission never runs",
    "a failed sampler is not retried all the time",
    "the next holder resumes the work of a crashed one",
    "a holder whose lease ended for nobody keeps its work",
)
# Fields that each event needs, so that its cause can be found in the log.
REQUIRED_FIELDS = {
    "request_refused": {"request", "status", "kind", "detail"},
    "call_ended": {"request", "route", "configuration", "outcome"},
    "call_given_up": {"request", "route", "tried", "fault"},
    "attempt_failed": {"instance", "detail"},
    "submission_accepted": {"submission", "items", "new"},
    "item_started": {"item", "submission", "instance", "version"},
    "item_attempt_lost": {"item", "submission", "instance", "detail"},
    "item_finished": {"item", "submission", "instance", "versions"},
    "role_taken": {"pool", "fence"},
    "role_reacquired": {"pool", "fence", "fence_before"},
    "load_ordered": {"instance", "model", "version", "fence", "reply"},
}


def collect_lines() -> list[dict[str, Any]]:
    """Run the cases; return the log lines that they write."""
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        for case in CASES:
            assert run_case(case), case
    finally:
        eliot.remove_destination(lines.append)
    return lines


def find_violations(lines: list[dict[str, Any]]) -> list[str]:
    """Return the missing events and fields."""
    violations: list[str] = []
    seen = {line.get("message_type") for line in lines}
    for event, fields in REQUIRED_FIELDS.items():
        if event not in seen and event != "load_ordered":
            violations.append(f"no line of event {event}")
        for line in lines:
            missing = fields - line.keys()
            if line.get("message_type") == event and missing:
                violations.append(f"{event} lacks {sorted(missing)}")
    refused = [x for x in lines if x.get("message_type") == "request_refused"]
    for line in refused:
        if not any(line.get(name) for name in ID_FIELDS):
            violations.append(f"a refusal without any id: {line['kind']}")
    return violations
