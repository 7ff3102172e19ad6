"""In-memory state of the submissions that a pool's holder runs."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import trio

from .models import Item
from .models import SampleResult
from .models import Submission


class ItemPhase(Enum):
    """Progress of an item.

    A FINISHED result is only in memory; a COMMITTED one is durable and can
    be read.
    """

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    FINISHED = "finished"
    COMMITTED = "listed"


@dataclass(slots=True)
class ItemState:
    """Progress of an item and its events so far.

    `last_event` is the number of the last complete event, 0 for none;
    `complete` is set once that event ends the text. `software` is the
    software version of the instances that generated them, None when it isn't
    known; without a slot at one of these the item waits since
    `version_awaited_since`. `errors` and `score_errors` count the error
    responses of instances and scorers.
    """

    item: Item
    phase: ItemPhase = ItemPhase.WAITING
    events: list[str] = field(default_factory=list)
    last_event: int = 0
    versions: list[int] = field(default_factory=list)
    software: str | None = None
    version_awaited_since: float | None = None
    errors: int = 0
    score_errors: int = 0
    instance: str = ""
    started_at: float = 0.0
    not_before: float = 0.0
    avoided_instance: str = ""
    complete: bool = False
    cancel_scope: trio.CancelScope | None = None

    @property
    def needs_version(self) -> bool:
        """Whether the text goes on only at the version that began it."""
        return bool(self.events) and not self.complete

    def discard_events(self) -> None:
        """Drop the events so far, so that the next attempt starts anew."""
        self.events = []
        self.versions = []
        self.software = None
        self.last_event = 0
        self.complete = False


@dataclass(slots=True)
class SubmissionState:
    """A submission's items and results; times are in seconds.

    `committed` has the durable results in the order of their positions,
    `uncommitted` the others, the first of them since `uncommitted_since`.
    `needs_memory` is set when items tell what they need of a sampler's memory.
    `results_changed` is set, and replaced by a new event, when results are
    committed and when the submission ends. `owner_revision` is that of the
    owner's key, 0 without one; `released` is set once another pool may own
    the submission.
    """

    submission: Submission
    due_at: float
    give_up_at: float
    items: dict[str, ItemState]
    groups: dict[str, list[ItemState]]
    committed: list[SampleResult] = field(default_factory=list)
    uncommitted: list[SampleResult] = field(default_factory=list)
    uncommitted_since: float = 0.0
    has_complete_group: bool = False
    ended: bool = False
    released: bool = False
    owner_revision: int = 0
    needs_memory: bool = False
    results_changed: trio.Event = field(default_factory=trio.Event)

    def is_open(self) -> bool:
        """Return whether the submission has work left."""
        return not self.is_stopped and len(self.committed) < len(self.items)

    @property
    def is_stopped(self) -> bool:
        """Whether its items run no more."""
        return self.ended or self.released

    def finish_item(self, result: SampleResult, now: float) -> None:
        """Add a result that is still to be committed.

        No-op for an item that is listed already.
        """
        state = self.items[result.id]
        if state.phase is ItemPhase.COMMITTED:
            return
        state.phase = ItemPhase.FINISHED
        if not self.uncommitted:
            self.uncommitted_since = now
        self.uncommitted.append(result)
        done = (ItemPhase.FINISHED, ItemPhase.COMMITTED)
        group = self.groups[state.item.group]
        if all(other.phase in done for other in group):
            self.has_complete_group = True

    def record_committed(
        self, position: int, results: list[SampleResult]
    ) -> bool:
        """Append the durable results that are stored from a position on.

        Returns False, and changes nothing, unless they follow the last known
        one and are all new: a result has one position.
        """
        known = {result.id for result in self.committed}
        if position != len(self.committed) or any(
            result.id in known for result in results
        ):
            return False
        for result in results:
            item = self.items[result.id]
            item.phase = ItemPhase.COMMITTED
            if item.cancel_scope is not None:
                item.cancel_scope.cancel()
        self.committed.extend(results)
        self.notify_results()
        return True

    def stop_items(self) -> None:
        """Cancel the running items and wake the readers."""
        for item in self.items.values():
            if item.cancel_scope is not None:
                item.cancel_scope.cancel()
        self.notify_results()

    def notify_results(self) -> None:
        """Wake the readers that wait for results."""
        self.results_changed.set()
        self.results_changed = trio.Event()


def make_submission_state(
    submission: Submission,
    now: float,
    wall_s: float,
    result_due_s: float,
    max_age_s: float,
) -> SubmissionState:
    """Make the state of a submission.

    `result_due_s` and `max_age_s` count from its arrival; `now` is
    monotonic, `wall_s` the time of day.
    """
    age_s = max(0.0, wall_s - submission.arrived_s)
    items = {item.id: ItemState(item) for item in submission.items}
    groups: dict[str, list[ItemState]] = {}
    for state in items.values():
        groups.setdefault(state.item.group, []).append(state)
    return SubmissionState(
        submission,
        now + result_due_s - age_s,
        now + max_age_s - age_s,
        items,
        groups,
        needs_memory=any(item.prompt_tokens for item in submission.items),
    )


class SubmissionRegistry:
    """All submissions of a pool, by id."""

    def __init__(self) -> None:
        self.submissions: dict[str, SubmissionState] = {}
        self.changed = trio.Event()

    def notify_changed(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def list_open(self) -> list[SubmissionState]:
        """Return the submissions with work left, earliest due first."""
        found = [s for s in self.submissions.values() if s.is_open()]
        return sorted(found, key=lambda s: s.due_at)

    def end_submission(self, submission: str) -> None:
        """End a submission and cancel its running items."""
        state = self.submissions.get(submission)
        if state is None or state.ended:
            return
        state.ended = True
        state.stop_items()
        self.notify_changed()

    def release_submission(self, submission: str) -> None:
        """Drop a submission that another pool may own."""
        state = self.submissions.pop(submission, None)
        if state is not None:
            state.released = True
            state.stop_items()
            self.notify_changed()

    def clear(self) -> None:
        """End and drop all submissions, once this gateway lost the role."""
        for submission in list(self.submissions):
            self.end_submission(submission)
        self.submissions.clear()
