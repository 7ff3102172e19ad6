"""Where the steps of a day lose time, from the logs of its gateways.

    python -m bench.losses LOG [--slowest N]

LOG has lines of gateways as they were logged, each perhaps behind a time and
a name; other lines are skipped. A step ends with its last item, so the table
splits the time of each step along that item: until the step was accepted and
loaded, until the item's first run began, in runs that were interrupted, in
its last run, in its scoring call, and until the trainer ended the step.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import json
from pathlib import Path
from statistics import mean

COLUMNS = ("load", "wait", "rerun", "stream", "score", "end")


@dataclass(slots=True)
class ItemTimes:
    """When an item's runs began and its last one ended, in log seconds."""

    started: list[float] = field(default_factory=list)
    finished: float = 0.0
    streamed_s: float = 0.0
    scored_s: float = 0.0
    events: int = 0
    instance: str = ""


@dataclass(slots=True)
class StepTimes:
    """When a step was accepted, loaded by its holders, and ended."""

    submission: str
    model: str
    step: int
    accepted: float
    item_count: int
    loaded: list[float] = field(default_factory=list)
    ended: float = 0.0
    items: dict[str, ItemTimes] = field(default_factory=dict)

    def find_last_item(self) -> ItemTimes | None:
        """Return the item that finished last; None when none did."""
        finished = [item for item in self.items.values() if item.finished]
        return max(finished, key=lambda item: item.finished, default=None)

    def split(self) -> dict[str, float] | None:
        """Return the seconds of each column; None for an unfinished step."""
        last = self.find_last_item()
        if last is None or not self.loaded or not last.started:
            return None
        loaded = self.loaded[0]
        last_run = last.finished - last.streamed_s - last.scored_s
        ended = max(self.ended, last.finished)
        return {
            "load": loaded - self.accepted,
            "wait": last.started[0] - loaded,
            "rerun": max(0.0, last_run - last.started[0]),
            "stream": last.streamed_s,
            "score": last.scored_s,
            "end": ended - last.finished,
        }


def read_records(lines: Iterable[str]) -> Iterator[dict[str, object]]:
    """Yield the records of a log in its order; skip all other lines."""
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            record = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(record, dict) and "message_type" in record:
            yield record


def collect_steps(records: Iterable[dict[str, object]]) -> list[StepTimes]:
    """Return the steps of a log, in the order of their acceptance."""
    steps: dict[str, StepTimes] = {}
    for record in records:
        at = float(str(record.get("timestamp", 0.0)))
        name = str(record.get("submission", ""))
        if record["message_type"] == "submission_accepted":
            steps.setdefault(
                name,
                StepTimes(
                    name,
                    str(record["model"]),
                    int(str(record["step"])),
                    at,
                    int(str(record["items"])),
                ),
            )
        elif name in steps:
            _apply_record(steps[name], record, at)
    return list(steps.values())


def _apply_record(
    step: StepTimes, record: dict[str, object], at: float
) -> None:
    """Apply a record of a step or of one of its items."""
    item = step.items.setdefault(str(record.get("item", "")), ItemTimes())
    match record["message_type"]:
        case "submission_loaded":
            step.loaded.append(at)
        case "submission_end_stored":
            step.ended = step.ended or at
        case "item_started":
            item.started.append(at)
        case "item_finished":
            item.finished = at
            item.streamed_s = float(str(record["streamed_s"]))
            item.scored_s = float(str(record["scored_s"]))
            item.events = int(str(record["events"]))
            item.instance = str(record["instance"])


def format_step(step: StepTimes, start: float) -> str:
    """Return a line of the table; `start` is the log's first second."""
    parts = step.split()
    runs = sum(len(item.started) for item in step.items.values())
    last = step.find_last_item()
    head = (
        f"{step.accepted - start:8.2f} {step.model:12.12} {step.step:4d} "
        f"{step.item_count:5d} {runs:5d}"
    )
    if parts is None or last is None:
        return f"{head}  unfinished"
    cells = " ".join(f"{parts[name]:7.2f}" for name in COLUMNS)
    total = sum(parts.values())
    return f"{head} {total:7.2f} {cells}  {last.events:3d} {last.instance}"


def print_table(steps: list[StepTimes], slowest: int) -> None:
    """Print the slowest steps, then the means of each model."""
    if not steps:
        print("no steps")
        return
    start = min(step.accepted for step in steps)
    names = " ".join(f"{name:>7}" for name in COLUMNS)
    print(f"accepted model        step items  runs   total {names}  last")
    found = sorted(steps, key=lambda s: -sum((s.split() or {}).values()))
    for step in sorted(found[:slowest], key=lambda s: s.accepted):
        print(format_step(step, start))
    for model in sorted({step.model for step in steps}):
        parts = [s.split() for s in steps if s.model == model]
        whole = [part for part in parts if part is not None]
        if not whole:
            continue
        cells = " ".join(
            f"{mean(part[name] for part in whole):7.2f}" for name in COLUMNS
        )
        total = mean(sum(part.values()) for part in whole)
        print(f"mean of {len(whole):3d}: {model:12.12} {total:18.2f} {cells}")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        prog="bench.losses", description=(__doc__ or "").splitlines()[0]
    )
    parser.add_argument("log", type=Path)
    parser.add_argument("--slowest", type=int, default=1000, metavar="N")
    options = parser.parse_args()
    with options.log.open(encoding="utf-8", errors="replace") as lines:
        steps = collect_steps(read_records(lines))
    print_table(steps, options.slowest)


if __name__ == "__main__":
    main()
