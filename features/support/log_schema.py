"""Support a run of the fakes whose log lines are checked."""

from typing import Any

import eliot
from pistachioctl.traces import ID_FIELDS

from .gateway_cases import run_case

CASES = (
    "no instance is reached: refused in time",
    "no answer in time: in doubt, in time",
    "a submission that is refused never runs",
    "a dead sampler is not asked again and again",
    "a holder's work outlives it",
)
# What each kind of line must say, so that its cause can be read from it.
REQUIRED = {
    "request_refused": {"request", "status", "kind", "detail"},
    "call_ended": {"request", "route", "configuration", "outcome"},
    "call_given_up": {"request", "route", "tried", "fault"},
    "attempt_failed": {"instance", "detail"},
    "submission_accepted": {"submission", "items", "new"},
    "item_started": {"item", "submission", "instance", "version"},
    "item_attempt_lost": {"item", "submission", "instance", "detail"},
    "item_finished": {"item", "submission", "instance", "versions"},
    "role_taken": {"pool", "fence"},
    "load_ordered": {"instance", "model", "version", "fence", "reply"},
}


def collect_lines() -> list[dict[str, Any]]:
    """Run the cases and return the lines that they write."""
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        for case in CASES:
            assert run_case(case), case
    finally:
        eliot.remove_destination(lines.append)
    return lines


def find_faults(lines: list[dict[str, Any]]) -> list[str]:
    """Return what is missing in the lines."""
    faults: list[str] = []
    seen = {line.get("message_type") for line in lines}
    for kind, fields in REQUIRED.items():
        if kind not in seen and kind != "load_ordered":
            faults.append(f"no line of kind {kind}")
        for line in lines:
            missing = fields - line.keys()
            if line.get("message_type") == kind and missing:
                faults.append(f"{kind} lacks {sorted(missing)}")
    refused = [x for x in lines if x.get("message_type") == "request_refused"]
    for line in refused:
        if not any(line.get(name) for name in ID_FIELDS):
            faults.append(f"a refusal without any id: {line['kind']}")
    return faults
