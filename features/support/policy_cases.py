"""Cases of decisions under load, each for one pattern."""

from collections.abc import Callable
from random import Random

from pistachiospar.adapters.http.address import Address
from pistachiospar.forwarding.health import InstanceHealth
from pistachiospar.kv_access.peer_order import PeerOrder
from pistachiospar.pool_holders.coordinator import choose_candidacy_delay_s
from pistachiospar.pool_holders.models import Role
from pistachiospar.routing.instances import ListedInstance
from pistachiospar.submissions.checkpoints import choose_interval_s
from pistachiospar.submissions.commits import choose_batch
from pistachiospar.submissions.commits import find_commit_time
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import SampleResult
from pistachiospar.submissions.models import Submission
from pistachiospar.submissions.registry import ItemPhase
from pistachiospar.submissions.registry import make_submission_state
from pistachiospar.submissions.registry import SubmissionState
from pistachiospar.submissions.scheduling import choose_moves
from pistachiospar.submissions.scheduling import choose_slot
from pistachiospar.submissions.scheduling import order_items
from pistachiospar.submissions.scheduling import SlotCandidate
from pistachiospar.weight_versions.decisions import assign_models
from pistachiospar.weight_versions.decisions import choose_loads
from pistachiospar.weight_versions.decisions import ModelNeed
from pistachiospar.weight_versions.demand import share_instances

from . import call_policies
from . import memory_cases
from . import permit_cases

NOW = 100.0


def make_submission(
    name: str, due_at: float, groups: int = 2
) -> SubmissionState:
    """Make a submission whose groups have a short and a long item."""
    items = [
        Item(f"{name}{g}{kind}", "/p", [], b"", f"{name}{g}", tokens)
        for g in range(groups)
        for kind, tokens in (("short", 10.0), ("long", 90.0))
    ]
    submission = Submission(name, "h", "/p/", "m", 1, 1, groups, items, NOW)
    return make_submission_state(submission, NOW, NOW, due_at - NOW, 99.0)


def make_candidate(
    name: str,
    version: int = 2,
    event_interval_s: float = 0.03,
    assigned: bool = True,
) -> SlotCandidate:
    """Make a candidate whose four slots are free."""
    return SlotCandidate(name, version, 4, 4, event_interval_s, assigned)


def list_ordered_items() -> str:
    """Return the first items of two open steps in starting order."""
    later, sooner = (
        make_submission("b", NOW + 9),
        make_submission("a", NOW + 3),
    )
    found = order_items(sorted([later, sooner], key=lambda s: s.due_at), NOW)
    return " ".join(state.item.id for _, state in found[:5])


def choose_for_item(
    candidates: list[SlotCandidate],
    group_instance: str = "",
    avoided_instance: str = "",
    free: dict[str, int] | None = None,
) -> str:
    """Return where an item runs that needs version 2, or "waits"."""
    free_slots = {s.instance: 4 for s in candidates} | (free or {})
    chosen = choose_slot(
        candidates, free_slots, 2, group_instance, avoided_instance
    )
    return chosen.instance if chosen else "waits"


def order_peers(*calls: tuple[str, float | None]) -> str:
    """Return the order of the peers a to d after some calls.

    Each call has the peer and when it failed, None when it succeeded.
    """
    order = PeerOrder(Random(1))
    for address, failed_at in calls:
        if failed_at is None:
            order.record_success(address)
        else:
            order.record_failure(address, failed_at)
    return "".join(order.sort("abcd"))


def count_moves(free: int, started_at: float = NOW - 2) -> str:
    """Return how many of two items move away from a slow instance."""
    submission = make_submission("a", NOW + 3, 1)
    for state in submission.items.values():
        state.phase, state.instance = ItemPhase.RUNNING, "slow"
        state.started_at = started_at
    candidates = [
        make_candidate("slow", event_interval_s=0.2),
        make_candidate("fast"),
    ]
    free_slots = {"slow": 2, "fast": free}
    moves = choose_moves(
        submission.items.values(), candidates, free_slots, 2, NOW
    )
    return f"{len(moves)} move"


def choose_loading(
    held: dict[str, int],
    backlog_s: float = 0.0,
    busy_instances: tuple[str, ...] = (),
    required_version: int = 1,
    loading: tuple[str, ...] = (),
) -> str:
    """Return which of four instances load version 3 of model m."""
    assigned = dict.fromkeys(("a", "b"), "m") | dict.fromkeys("cd", "n")
    versions = {(name, "m"): v for name, v in held.items()}
    needs = {
        "m": ModelNeed(
            3, required_version, backlog_s, frozenset(busy_instances)
        )
    }
    chosen = choose_loads(
        assigned,
        versions,
        needs,
        dict.fromkeys(loading, "m"),
        dict.fromkeys("abcd", 4),
    )
    return " ".join(load.instance for load in chosen) or "none"


def is_avoided(failures: int, severe: bool, after_s: float) -> bool:
    """Return whether an instance is avoided some time after failures."""
    health = InstanceHealth(Random(1))
    for _ in range(failures):
        health.record_failure("a", NOW, severe)
    return NOW + after_s < health.get_state("a").avoided_until


def describe_commit(complete_group: bool) -> str:
    """Return when results are committed, and how many."""
    submission = make_submission("a", NOW + 3)
    names = list(submission.items)[: 2 if complete_group else 1]
    for name in names:
        submission.finish_item(SampleResult(name, True, "t", [2], "s"), NOW)
    due_s = find_commit_time([submission], NOW) - NOW
    return f"in {due_s:.1f} s, {len(choose_batch([submission])[0][1])} results"


def assign_to_models() -> str:
    """Return the assigned models once one model brings more work."""
    address = Address("127.0.0.1", 1)
    instances = [
        ListedInstance(name, "u", address, "z", 4, False) for name in "abcde"
    ]
    previous = {"a": "m", "b": "m", "c": "n"}
    held = {("d", "n"): 4, ("e", "m"): 4}
    found = assign_models(instances, {"m": 1.0, "n": 3.0}, previous, held)
    return " ".join(f"{name}{model}" for name, model in sorted(found.items()))


def may_start_work(
    expired_for_s: float, renewed_ago_s: float, lost: bool = False
) -> bool:
    """Return whether a holder may start work.

    Guards against seed 307 of the soak: a holder that was stopped for 5 s
    started items on resuming, 2.9 s after the end of their submission.
    """
    role = Role("p", "k", 1, 1, NOW - expired_for_s, lost, NOW - renewed_ago_s)
    return role.may_start_work(NOW)


CANDIDATES = [
    make_candidate("a"),
    make_candidate("b"),
    make_candidate("c", version=1),
]

CASES: dict[str, tuple[Callable[[], object], object]] = {
    **call_policies.CASES,
    **permit_cases.CASES,
    **memory_cases.CASES,
    "a checkpoint that is written fast is followed by the interval": (
        lambda: f"{choose_interval_s(0.05):.1f} s",
        "1.0 s",
    ),
    "a checkpoint that takes long is followed by a longer pause": (
        lambda: f"{choose_interval_s(0.8):.1f} s",
        "4.0 s",
    ),
    "a peer that executed the last call is asked first": (
        lambda: order_peers(("a", 1.0), ("b", None), ("c", 2.0))[0],
        "b",
    ),
    "peers that failed come after those that were not asked": (
        lambda: order_peers(("a", 1.0), ("c", 2.0))[2:],
        "ac",
    ),
    "a peer that fails after a success is asked last": (
        lambda: order_peers(("b", None), ("a", 1.0), ("b", 2.0))[-1],
        "b",
    ),
    "items start by due time, then long ones first, whatever the group": (
        list_ordered_items,
        "a0long a1long a0short a1short b0long",
    ),
    "an item runs where its group's prompt was read": (
        lambda: choose_for_item(CANDIDATES, group_instance="b"),
        "b",
    ),
    "an instance with too old weights is not used": (
        lambda: choose_for_item([make_candidate("c", version=1)]),
        "waits",
    ),
    "an item waits while all slots are taken": (
        lambda: choose_for_item(CANDIDATES, free={"a": 0, "b": 0}),
        "waits",
    ),
    "a slow instance is chosen last, even the group's own": (
        lambda: choose_for_item(
            [make_candidate("a", event_interval_s=0.2), make_candidate("b")],
            "a",
        ),
        "b",
    ),
    "an item avoids the instance that lost it": (
        lambda: choose_for_item(
            CANDIDATES, group_instance="a", avoided_instance="a"
        ),
        "b",
    ),
    "an assigned instance is preferred to an unassigned one": (
        lambda: choose_for_item(
            [make_candidate("a", assigned=False), make_candidate("b")]
        ),
        "b",
    ),
    "items move from a slow instance to free slots": (
        lambda: count_moves(free=2),
        "2 move",
    ),
    "no more items move than slots are free": (
        lambda: count_moves(free=1),
        "1 move",
    ),
    "an item that just started does not move": (
        lambda: count_moves(free=2, started_at=NOW - 0.1),
        "0 move",
    ),
    "weights too old for open work are replaced at once": (
        lambda: choose_loading(
            {"a": 1, "b": 2}, busy_instances=("a", "b"), required_version=2
        ),
        "a",
    ),
    "usable old weights are replaced where their model is idle": (
        lambda: choose_loading(
            {"a": 2, "b": 2}, busy_instances=("b",), required_version=2
        ),
        "a",
    ),
    "usable old weights are not replaced while work is waiting": (
        lambda: choose_loading(
            {"a": 2, "b": 2}, backlog_s=1.0, required_version=2
        ),
        "none",
    ),
    "a model with a long backlog gets an extra instance": (
        lambda: choose_loading(
            {"a": 3, "b": 3}, backlog_s=60.0, required_version=2
        ),
        "c",
    ),
    "idle models start no third concurrent load": (
        lambda: choose_loading(
            {"a": 2, "b": 2}, loading=("c", "d"), required_version=2
        ),
        "none",
    ),
    "instances are shared by work, at least one per model": (
        lambda: share_instances({"m": 1.0, "n": 5.0}, 4),
        {"m": 1, "n": 3},
    ),
    "instances keep their model while its share has room": (
        assign_to_models,
        "am bn cn dn en",
    ),
    "an instance that refuses connections is avoided": (
        lambda: is_avoided(1, True, 0.2),
        True,
    ),
    "an instance is avoided longer after each failure": (
        lambda: is_avoided(4, True, 0.9),
        True,
    ),
    "the time an instance is avoided is bounded": (
        lambda: is_avoided(9, True, 2.1),
        False,
    ),
    "an instance is not avoided for one broken response": (
        lambda: is_avoided(1, False, 0.0),
        False,
    ),
    "an instance is avoided after three broken responses in a row": (
        lambda: is_avoided(3, False, 0.2),
        True,
    ),
    "a complete group is committed at once": (
        lambda: describe_commit(complete_group=True),
        "in 0.0 s, 2 results",
    ),
    "an incomplete group waits for the rest": (
        lambda: describe_commit(complete_group=False),
        "in 0.9 s, 1 results",
    ),
    "a holder with a valid lease starts work": (
        lambda: may_start_work(-1.0, 0.5),
        True,
    ),
    "a holder that tries to renew during a store outage starts work": (
        lambda: may_start_work(2.0, 1.0),
        True,
    ),
    "a holder that was paused starts no work at once": (
        lambda: may_start_work(3.0, 5.0),
        False,
    ),
    "a holder whose key was deleted starts no work": (
        lambda: may_start_work(-1.0, 0.1, lost=True),
        False,
    ),
    "the gateway with the most CPU tries for a vacant pool first": (
        lambda: (
            choose_candidacy_delay_s(2.15, False, Random(1))
            < choose_candidacy_delay_s(0.387, False, Random(1))
        ),
        True,
    ),
}
