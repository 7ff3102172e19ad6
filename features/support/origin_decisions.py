"""Decisions on software versions, without a network."""

from collections.abc import Callable

import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import read_stream_position
from pistachiospar.platform.instances import read_instance
from pistachiospar.routing.instances import SoftwareOrigin
from pistachiospar.stream_origins.const import COPIES
from pistachiospar.stream_origins.const import MAX_ORIGINS
from pistachiospar.stream_origins.const import ORIGIN_MEMORY_S
from pistachiospar.stream_origins.copies import choose_keepers
from pistachiospar.stream_origins.copies import GatewayRing
from pistachiospar.stream_origins.decisions import decide_origin
from pistachiospar.stream_origins.decisions import OriginFindings
from pistachiospar.stream_origins.messages import StreamOrigin
from pistachiospar.stream_origins.table import OriginTable
from pistachiospar.submissions.checkpoints import Progress
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.registry import ItemState
from pistachiospar.submissions.scheduling import choose_moves
from pistachiospar.submissions.scheduling import should_restart
from pistachiospar.submissions.scheduling import SlotCandidate
from result import Ok

RECORD = StreamOrigin("r1", "f1", "pool", "v1")
ONE = {"pool": ["v1"]}
TWO = {"pool": ["v1", "v2"]}
SPLIT = {"pool": ["v1"], "other": ["v1"]}


def decide(
    software: dict[str, list[str]],
    asked: int,
    answered: int,
    is_confirmed: bool,
    record: StreamOrigin | None = None,
    fingerprint: str = "f1",
    is_history_complete: bool = True,
) -> str:
    """Return the decision on a stream as a word."""
    findings = OriginFindings(
        record, software, asked, answered, is_confirmed, is_history_complete
    )
    decided = decide_origin(findings, fingerprint)
    if isinstance(decided, SoftwareOrigin):
        return f"{decided.upstream} {decided.software}"
    return type(decided).__name__


def read_position(headers: dict[str, str]) -> str:
    """Return the position that a request's headers name."""
    read = read_stream_position(HttpRequest("POST", "/", "", headers))
    if isinstance(read, Ok):
        position = read.ok_value
        if position is None:
            return "new"
        return f"{position.stream or 'unnamed'} {position.after_event}"
    return "invalid"


def read_software(version: bytes) -> str:
    """Return the software version of a registration with a field."""
    value = (
        b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,'
        b'"state":"ready"%s}'
    )
    read = read_instance("servers/i-1", value % version)
    return read.ok_value.software if isinstance(read, Ok) else "unreadable"


def make_item(software: str | None, events: int) -> ItemState:
    """Return an item with some events."""
    item = Item("i1", "/", [], b"", "g", 0.0)
    state = ItemState(item, events=["e"] * events, software=software)
    state.last_event = events
    return state


def make_candidate(
    name: str, software: str, interval_s: float = 0.1
) -> SlotCandidate:
    """Return an instance that may run the item."""
    return SlotCandidate(name, 1, 0, 4, interval_s, True, software)


def restart(
    software: str | None,
    serving: dict[str, str],
    free: dict[str, int],
    waited_s: float | None,
) -> str:
    """Return whether an item of 20 events starts anew or waits."""
    state = make_item(software, 20)
    if waited_s is not None:
        state.version_awaited_since = 100.0 - waited_s
    candidates = [make_candidate(n, v) for n, v in serving.items()]
    counts = dict.fromkeys(serving, 0) | free
    found = should_restart(state, candidates, counts, 1, 100.0)
    return "restart" if found else "wait"


def move(target: str) -> str:
    """Return whether an item of v1 leaves a slow instance for a fast one."""
    state = make_item("v1", 5)
    state.instance = "slow"
    candidates = [
        make_candidate("slow", "v1", 1.0),
        make_candidate("fast", target, 0.01),
    ]
    moves = choose_moves([state], candidates, {"slow": 0, "fast": 2}, 1, 99.0)
    return "moves" if moves else "stays"


def spread_copies() -> str:
    """Return how many zones the copies of 200 streams miss."""
    zones = {f"g{n}": f"z{n % 3}" for n in range(9)}
    ring = GatewayRing("g0")
    missed = 0
    for number in range(200):
        near = ring.list_near(f"s{number}", zones)
        keepers = choose_keepers(near, zones, "z0")
        missed += "g0" in keepers or len(keepers) != COPIES
        missed += {zones[k] for k in keepers} != {"z1", "z2"}
    return f"{missed} missed"


def find_keepers() -> str:
    """Return how many streams' copies are not among those asked."""
    zones = {f"g{n}": f"z{n % 7}" for n in range(410)}
    ring = GatewayRing("g0")
    # The gateway that is asked has not heard of some members yet.
    others = [name for name in zones if not name.endswith("3")]
    other_ring = GatewayRing("g1")
    missed = 0
    for number in range(500):
        near = ring.list_near(f"s{number}", zones)
        keepers = choose_keepers(near, zones, "z0")
        asked = other_ring.list_near(f"s{number}", others)
        missed += not set(keepers) & {*asked, "g1"}
    return f"{missed} missed"


def fill_table() -> str:
    """Return what a table keeps of more origins than it has room for."""
    table = OriginTable()
    for number in range(MAX_ORIGINS + 10):
        table.record(StreamOrigin(f"r{number}", "", "pool", "v1"), 0.0)
    kept = len(table.list_origins("pool", 0.0))
    late = table.find("r100", ORIGIN_MEMORY_S + 1.0)
    return f"{kept == MAX_ORIGINS} {table.find('r1', 0.0)} {late}"


def read_old_checkpoint() -> str:
    """Return what is read of an item that an earlier build stored."""
    stored = msgspec.msgpack.encode(["i1", ["a", "b"], [3], False])
    progress = msgspec.msgpack.decode(stored, type=Progress)
    return f"{len(progress.events)} {progress.software}"


def read_new_checkpoint() -> str:
    """Return what an earlier build reads of an item stored today."""
    OldProgress = msgspec.defstruct(
        "OldProgress",
        [
            ("item", str),
            ("events", list[str]),
            ("versions", list[int]),
            ("complete", bool, False),
        ],
        array_like=True,
    )
    stored = msgspec.msgpack.encode(Progress("i1", ["a"], [3], False, "v1"))
    progress = msgspec.to_builtins(
        msgspec.msgpack.decode(stored, type=OldProgress)
    )
    return f"{progress[0]} {progress[1]}"


POSITION = {"last-event-id": "12", "resumes": "r1"}
DECISIONS: dict[str, tuple[Callable[[], str], str]] = {
    "a record decides, whatever serves": (
        lambda: decide(TWO, 5, 1, False, RECORD),
        "pool v1",
    ),
    "the record of another request": (
        lambda: decide(ONE, 5, 1, True, RECORD, "f2"),
        "OriginMismatch",
    ),
    "one version, the stored record was just read": (
        lambda: decide(ONE, 5, 1, True),
        "pool v1",
    ),
    "one version, most gateways replied in an outage": (
        lambda: decide(ONE, 4, 2, False),
        "pool v1",
    ),
    "one version, few gateways replied in an outage": (
        lambda: decide(ONE, 5, 2, False),
        "OriginUnknown",
    ),
    "one version, nobody replied": (
        lambda: decide(ONE, 5, 0, True),
        "OriginUnknown",
    ),
    "one version, the only gateway": (
        lambda: decide(ONE, 0, 0, True),
        "pool v1",
    ),
    "one version, the only gateway, cut off": (
        lambda: decide(ONE, 0, 0, False),
        "OriginUnknown",
    ),
    "one version, all gateways have just started": (
        lambda: decide(ONE, 17, 17, True, is_history_complete=False),
        "OriginUnknown",
    ),
    "a record decides, though all gateways have just started": (
        lambda: decide(ONE, 17, 17, True, RECORD, "f1", False),
        "pool v1",
    ),
    "two versions": (lambda: decide(TWO, 5, 5, True), "OriginUnknown"),
    "two upstreams": (lambda: decide(SPLIT, 5, 5, True), "OriginUnknown"),
    "no instance": (
        lambda: decide({"pool": []}, 5, 5, True),
        "OriginUnknown",
    ),
    "a new stream": (lambda: read_position({}), "new"),
    "a resumed stream": (lambda: read_position(POSITION), "r1 12"),
    "a resumed stream without its first request": (
        lambda: read_position({"last-event-id": "3"}),
        "unnamed 3",
    ),
    "an event's number that is text": (
        lambda: read_position({**POSITION, "last-event-id": "x"}),
        "invalid",
    ),
    "a negative event's number": (
        lambda: read_position({**POSITION, "last-event-id": "-1"}),
        "invalid",
    ),
    "an endless event's number": (
        lambda: read_position({**POSITION, "last-event-id": "1" * 4000}),
        "invalid",
    ),
    "digits of another script": (
        lambda: read_position({**POSITION, "last-event-id": "\u0661"}),
        "invalid",
    ),
    "an empty first request": (
        lambda: read_position({**POSITION, "resumes": " "}),
        "invalid",
    ),
    "a first request without an event": (
        lambda: read_position({"resumes": "r1"}),
        "invalid",
    ),
    "a registration with a version": (
        lambda: read_software(b',"version":"v7"'),
        "v7",
    ),
    "a registration without a version": (
        lambda: read_software(b""),
        "unreadable",
    ),
    "a registration with a numeric version": (
        lambda: read_software(b',"version":7'),
        "unreadable",
    ),
    "an item's version is gone": (
        lambda: restart("v1", {"a": "v2"}, {"a": 1}, None),
        "restart",
    ),
    "an item's version is gone, no slot": (
        lambda: restart("v1", {"a": "v2"}, {}, None),
        "wait",
    ),
    "an item's version is not known": (
        lambda: restart(None, {"a": "v1", "b": "v2"}, {"b": 1}, None),
        "restart",
    ),
    "an item's version is full, another has room": (
        lambda: restart("v1", {"a": "v1", "b": "v2"}, {"b": 1}, 1.9),
        "wait",
    ),
    "an item's version is full for long, another has room": (
        lambda: restart("v1", {"a": "v1", "b": "v2"}, {"b": 1}, 2.0),
        "restart",
    ),
    "an item's version is full for long, so are others": (
        lambda: restart("v1", {"a": "v1", "b": "v2"}, {}, 60.0),
        "wait",
    ),
    "no instance is left": (lambda: restart("v1", {}, {}, 60.0), "wait"),
    "a faster instance of the same version": (lambda: move("v1"), "moves"),
    "a faster instance of another version": (lambda: move("v2"), "stays"),
    "copies go to the other zones": (spread_copies, "0 missed"),
    "copies are found among many gateways": (find_keepers, "0 missed"),
    "a full table drops the oldest": (fill_table, "True None None"),
    "a checkpoint of an earlier build": (read_old_checkpoint, "2 None"),
    "a checkpoint for an earlier build": (read_new_checkpoint, "i1 ['a']"),
}


def run_decision(name: str) -> tuple[str, str]:
    """Return what was decided and what is right."""
    decide_case, expected = DECISIONS[name]
    return decide_case(), expected
