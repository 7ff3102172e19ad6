"""Support the state of the submissions that a pool's holder works on."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import trio

from .models import Item
from .models import SampleResult
from .models import Submission


class Phase(Enum):
    """Say how far an item is."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    FINISHED = "finished"
    LISTED = "listed"


@dataclass(slots=True)
class ItemState:
    """Hold how far an item is, and what was generated of it.

    `last_event` is the number of the last whole event, 0 for none; `whole`
    tells that it is the text's last one.
    """

    item: Item
    phase: Phase = Phase.WAITING
    events: list[str] = field(default_factory=list)
    last_event: int = 0
    versions: list[int] = field(default_factory=list)
    errors: int = 0
    score_errors: int = 0
    instance: str = ""
    began_at: float = 0.0
    not_before: float = 0.0
    avoided: str = ""
    whole: bool = False
    scope: trio.CancelScope | None = None

    def restart(self) -> None:
        """Forget what was generated."""
        self.events = []
        self.versions = []
        self.last_event = 0
        self.whole = False


@dataclass(slots=True)
class SubmissionState:
    """Hold a submission's items and results; times are in seconds.

    `finished` are results that are not durable yet; `listed` are, in the
    order of their positions.
    """

    submission: Submission
    due_at: float
    give_up_at: float
    items: dict[str, ItemState]
    groups: dict[str, list[ItemState]]
    listed: list[SampleResult] = field(default_factory=list)
    finished: list[SampleResult] = field(default_factory=list)
    finished_at: float = 0.0
    group_whole: bool = False
    ended: bool = False
    grown: trio.Event = field(default_factory=trio.Event)

    def is_open(self) -> bool:
        """Return whether there is work left."""
        return not self.ended and len(self.listed) < len(self.items)

    def finish(self, result: SampleResult, now: float) -> None:
        """Take a result that is to be made durable."""
        state = self.items[result.id]
        state.phase = Phase.FINISHED
        if not self.finished:
            self.finished_at = now
        self.finished.append(result)
        done = (Phase.FINISHED, Phase.LISTED)
        group = self.groups[state.item.group]
        if all(other.phase in done for other in group):
            self.group_whole = True

    def list_results(self, results: list[SampleResult]) -> None:
        """Take results that are durable, in order."""
        for result in results:
            self.items[result.id].phase = Phase.LISTED
        self.listed.extend(results)
        self.grown.set()
        self.grown = trio.Event()


def make_state(
    submission: Submission,
    now: float,
    wall_s: float,
    due_s: float,
    give_up_s: float,
) -> SubmissionState:
    """Make the state of a submission; its times count from its arrival."""
    age_s = max(0.0, wall_s - submission.arrived_s)
    items = {item.id: ItemState(item) for item in submission.items}
    groups: dict[str, list[ItemState]] = {}
    for state in items.values():
        groups.setdefault(state.item.group, []).append(state)
    return SubmissionState(
        submission, now + due_s - age_s, now + give_up_s - age_s, items, groups
    )


class Board:
    """Hold all submissions of a pool."""

    def __init__(self) -> None:
        """Begin with none."""
        self.submissions: dict[str, SubmissionState] = {}
        self.woken = trio.Event()

    def wake(self) -> None:
        """Wake what waits for a change."""
        self.woken.set()
        self.woken = trio.Event()

    def list_open(self) -> list[SubmissionState]:
        """Return the submissions with work left, soonest due first."""
        found = [s for s in self.submissions.values() if s.is_open()]
        return sorted(found, key=lambda s: s.due_at)

    def end(self, submission: str) -> None:
        """End a submission: its work stops at once."""
        state = self.submissions.get(submission)
        if state is None or state.ended:
            return
        state.ended = True
        for item in state.items.values():
            if item.scope is not None:
                item.scope.cancel()
        state.grown.set()
        state.grown = trio.Event()
        self.wake()

    def clear(self) -> None:
        """Forget all, when another gateway holds the pool."""
        for submission in list(self.submissions):
            self.end(submission)
        self.submissions.clear()
