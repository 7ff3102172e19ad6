"""Support the decisions under load, each for a pattern that it answers."""

from collections.abc import Callable
from random import Random

from pistachiospar.adapters.http.client import Address
from pistachiospar.forwarding.health import choose_instance
from pistachiospar.forwarding.health import InstanceHealth
from pistachiospar.holding.coordinator import choose_candidacy_delay_s
from pistachiospar.holding.models import Role
from pistachiospar.routing.instances import ListedInstance
from pistachiospar.submissions.board import ItemPhase
from pistachiospar.submissions.board import make_submission_state
from pistachiospar.submissions.board import SubmissionState
from pistachiospar.submissions.commits import choose_batch
from pistachiospar.submissions.commits import find_commit_time
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import SampleResult
from pistachiospar.submissions.models import Submission
from pistachiospar.submissions.scheduling import choose_moves
from pistachiospar.submissions.scheduling import choose_slot
from pistachiospar.submissions.scheduling import order_items
from pistachiospar.submissions.scheduling import SlotCandidate
from pistachiospar.versions.decisions import assign_models
from pistachiospar.versions.decisions import choose_loads
from pistachiospar.versions.decisions import ModelNeed
from pistachiospar.versions.demand import share_instances

NOW = 100.0


def make_board(name: str, due_at: float, groups: int = 2) -> SubmissionState:
    """Make a submission of groups of two, a short and a long item."""
    items = [
        Item(f"{name}{g}{kind}", "/p", [], b"", f"{name}{g}", tokens)
        for g in range(groups)
        for kind, tokens in (("short", 10.0), ("long", 90.0))
    ]
    submission = Submission(name, "h", "/p/", "m", 1, 1, groups, items, NOW)
    return make_submission_state(submission, NOW, NOW, due_at - NOW, 99.0)


def make_seat(
    name: str,
    version: int = 2,
    event_interval_s: float = 0.03,
    assigned: bool = True,
) -> SlotCandidate:
    """Make a seat with four places."""
    return SlotCandidate(name, version, 4, 4, event_interval_s, assigned)


def order_names() -> str:
    """Order a later step's items before and after an earlier one's."""
    late, soon = make_board("b", NOW + 9), make_board("a", NOW + 3)
    found = order_items(sorted([late, soon], key=lambda s: s.due_at), NOW)
    return " ".join(state.item.id for _, state in found[:5])


def seat(
    seats: list[SlotCandidate],
    beside: str = "",
    avoided: str = "",
    free: dict[str, int] | None = None,
) -> str:
    """Say where an item goes that needs version 2."""
    places = {s.instance: 4 for s in seats} | (free or {})
    chosen = choose_slot(seats, places, 2, beside, avoided)
    return chosen.instance if chosen else "waits"


def move(free: int, started_at: float = NOW - 2) -> str:
    """Say which of two items at a slow instance move."""
    board = make_board("a", NOW + 3, 1)
    for state in board.items.values():
        state.phase, state.instance = ItemPhase.RUNNING, "slow"
        state.started_at = started_at
    seats = [make_seat("slow", event_interval_s=0.2), make_seat("fast")]
    places = {"slow": 2, "fast": free}
    moves = choose_moves(board.items.values(), seats, places, 2, NOW)
    return f"{len(moves)} move"


def loads(
    held: dict[str, int],
    waiting_s: float = 0.0,
    busy: tuple[str, ...] = (),
    required: int = 1,
    loading: tuple[str, ...] = (),
) -> str:
    """Say which of four instances load version 3 of model m."""
    assigned = dict.fromkeys(("a", "b"), "m") | dict.fromkeys("cd", "n")
    versions = {(name, "m"): v for name, v in held.items()}
    needs = {"m": ModelNeed(3, required, waiting_s, frozenset(busy))}
    chosen = choose_loads(
        assigned,
        versions,
        needs,
        dict.fromkeys(loading, "m"),
        dict.fromkeys("abcd", 4),
    )
    return " ".join(load.instance for load in chosen) or "none"


def avoid(failures: int, severe: bool, later_s: float) -> bool:
    """Return whether an instance is avoided some time after failures."""
    health = InstanceHealth(Random(1))
    for _ in range(failures):
        health.note_failure("a", NOW, severe)
    return NOW + later_s < health.find("a").avoided_until


def choose_among(loads_of: dict[str, int], tried: set[str]) -> str:
    """Say which instance a plain call goes to."""
    health = InstanceHealth(Random(1))
    instances = []
    for name, load in loads_of.items():
        health.find(name).in_flight = load
        address = Address("127.0.0.1", 1)
        instances.append(ListedInstance(name, "u", address, "z", 4, False))
    chosen = choose_instance(instances, health, tried, "z", NOW, Random(1))
    return chosen.name if chosen else "none"


def commit_due(whole: bool) -> str:
    """Say when results are written, and how many."""
    board = make_board("a", NOW + 3)
    names = list(board.items)[: 2 if whole else 1]
    for name in names:
        board.finish_item(SampleResult(name, True, "t", [2], "s"), NOW)
    due_s = find_commit_time([board], NOW) - NOW
    return f"in {due_s:.1f} s, {len(choose_batch([board])[0][1])} results"


def keep_assigned() -> str:
    """Say what instances keep when one model brings more work."""
    address = Address("127.0.0.1", 1)
    instances = [
        ListedInstance(name, "u", address, "z", 4, False) for name in "abcde"
    ]
    before = {"a": "m", "b": "m", "c": "n"}
    held = {("d", "n"): 4, ("e", "m"): 4}
    found = assign_models(instances, {"m": 1.0, "n": 3.0}, before, held)
    return " ".join(f"{name}{model}" for name, model in sorted(found.items()))


def may_start(lapsed_s: float, tried_s: float, lost: bool = False) -> bool:
    """Say whether a holder may start work.

    Seed 307 of the soak: a holder that was stopped for 5 s started items on
    waking, 2.9 s after their submission's end.
    """
    role = Role("p", "k", 1, 1, NOW - lapsed_s, lost, NOW - tried_s)
    return role.may_start_work(NOW)


SEATS = [make_seat("a"), make_seat("b"), make_seat("c", version=1)]

CASES: dict[str, tuple[Callable[[], object], object]] = {
    "two open steps: the one due first, its groups in order, long first": (
        order_names,
        "a0long a0short a1long a1short b0long",
    ),
    "a group's next item stays where its prompt was read": (
        lambda: seat(SEATS, beside="b"),
        "b",
    ),
    "weights too old for the step are no place": (
        lambda: seat([make_seat("c", version=1)]),
        "waits",
    ),
    "all places taken": (lambda: seat(SEATS, free={"a": 0, "b": 0}), "waits"),
    "a slow instance is the last choice, also when it is the group's": (
        lambda: seat(
            [make_seat("a", event_interval_s=0.2), make_seat("b")], "a"
        ),
        "b",
    ),
    "an instance that lost the item is not asked again at once": (
        lambda: seat(SEATS, beside="a", avoided="a"),
        "b",
    ),
    "one kept up to date goes before one that happens to be": (
        lambda: seat([make_seat("a", assigned=False), make_seat("b")]),
        "b",
    ),
    "items leave a slow instance for free places": (
        lambda: move(free=2),
        "2 move",
    ),
    "no more leave than there are places": (lambda: move(free=1), "1 move"),
    "an item that just began stays": (
        lambda: move(free=2, started_at=NOW - 0.1),
        "0 move",
    ),
    "open work needs newer weights: load at once": (
        lambda: loads({"a": 1, "b": 2}, busy=("a", "b"), required=2),
        "a",
    ),
    "usable weights load when their model is idle": (
        lambda: loads({"a": 2, "b": 2}, busy=("b",), required=2),
        "a",
    ),
    "nothing loads while work could use the places": (
        lambda: loads({"a": 2, "b": 2}, waiting_s=1.0, required=2),
        "none",
    ),
    "work that waits long takes a further instance": (
        lambda: loads({"a": 3, "b": 3}, waiting_s=60.0, required=2),
        "c",
    ),
    "no third load for idle models": (
        lambda: loads({"a": 2, "b": 2}, loading=("c", "d"), required=2),
        "none",
    ),
    "places follow the work, each model has one": (
        lambda: share_instances({"m": 1.0, "n": 5.0}, 4),
        {"m": 1, "n": 3},
    ),
    "instances keep their model while its share has room": (
        keep_assigned,
        "am bn cn dn en",
    ),
    "an instance that refuses connections is left alone": (
        lambda: avoid(1, True, 0.2),
        True,
    ),
    "longer each time": (lambda: avoid(4, True, 0.9), True),
    "and not for ever": (lambda: avoid(9, True, 2.1), False),
    "one broken answer is no reason": (lambda: avoid(1, False, 0.0), False),
    "three in a row are": (lambda: avoid(3, False, 0.2), True),
    "a plain call goes where least waits": (
        lambda: choose_among({"a": 3, "b": 1}, set()),
        "b",
    ),
    "a second try goes elsewhere": (
        lambda: choose_among({"a": 3, "b": 1}, {"b"}),
        "a",
    ),
    "a whole group is written at once": (
        lambda: commit_due(whole=True),
        "in 0.0 s, 2 results",
    ),
    "a part of a group waits for the rest": (
        lambda: commit_due(whole=False),
        "in 0.9 s, 1 results",
    ),
    "a holder whose lease holds starts work": (
        lambda: may_start(-1.0, 0.5),
        True,
    ),
    "so does one that asks a store that is away": (
        lambda: may_start(2.0, 1.0),
        True,
    ),
    "one that stood still hears first what happened": (
        lambda: may_start(3.0, 5.0),
        False,
    ),
    "one whose key went starts nothing": (
        lambda: may_start(-1.0, 0.1, lost=True),
        False,
    ),
    "the strongest gateway tries for a vacant pool first": (
        lambda: (
            choose_candidacy_delay_s(2.15, Random(1))
            < choose_candidacy_delay_s(0.387, Random(1))
        ),
        True,
    ),
}
