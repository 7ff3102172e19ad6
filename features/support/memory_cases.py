"""Cases of items and the memory of samplers."""

from collections.abc import Callable
from random import Random

from pistachiospar.adapters.http.address import Address
from pistachiospar.ports.sampler import SamplerReport
from pistachiospar.routing.instances import ListedInstance
from pistachiospar.submissions.allocation import SlotAllocator
from pistachiospar.submissions.memory import MemoryTable
from pistachiospar.submissions.models import Item
from pistachiospar.submissions.models import Submission
from pistachiospar.submissions.registry import make_submission_state
from pistachiospar.submissions.registry import SubmissionState
from pistachiospar.submissions.scheduling import order_items
from pistachiospar.submissions.scheduling import SlotCandidate
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
import trio

from .histories import make_history
from .submission_checks import SubmissionHistory
from .submission_scenarios import read_page
from .submission_scenarios import submit

NOW = 100.0
ADDRESS = Address("127.0.0.1", 1)
# An item's prompt, expected output and largest output.
LONG, SHORT = (100, 600, 700), (10, 20, 50)


def make_submission(*items: tuple[int, int, int]) -> SubmissionState:
    """Make a submission of items, by their tokens."""
    found = [
        Item(f"i{n}", "/p", [], b"", "g", expected, None, prompt, largest)
        for n, (prompt, expected, largest) in enumerate(items)
    ]
    submission = Submission("s", "h", "/p/", "m", 1, 1, 1, found, NOW)
    return make_submission_state(submission, NOW, NOW, 9.0, 99.0)


def record_memory(
    memory: MemoryTable, name: str, total: int | None, used: int = 0
) -> None:
    """Record an instance's report."""
    instance = ListedInstance(name, "u", ADDRESS, "z", 4, False)
    report = SamplerReport(False, 0, 0, 0, {}, 0, used, total)
    memory.record_report(instance, report, NOW)


def lay(
    totals: dict[str, tuple[int | None, int]],
    *items: tuple[int, int, int],
    later_s: float = 0.0,
) -> str:
    """Return where items are laid in one pass, "-" for those that wait.

    `totals` has each instance's memory and what others use of it.
    """
    memory = MemoryTable()
    for name, (total, used) in totals.items():
        record_memory(memory, name, total, used)
    return lay_in(memory, list(totals), make_submission(*items), later_s)


def lay_in(
    memory: MemoryTable,
    instances: list[str],
    submission: SubmissionState,
    later_s: float = 0.0,
) -> str:
    """Return where items are laid in one pass, in their starting order."""
    candidates = [SlotCandidate(n, 1, 4, 4, 0.03, True) for n in instances]
    now = NOW + later_s
    allocator = SlotAllocator({"m": candidates}, lambda *_: True, memory, now)
    laid = []
    for _, state in order_items([submission], now):
        found = allocator.allocate(submission, state, "", 0)
        laid.append(found.instance if found else "-")
        if found is not None:
            need = memory.estimate_need("m", state.item)
            memory.start_item(found.instance, state, need)
    return "".join(laid)


def hold_for_long() -> str:
    """Return where items are laid while only one instance has enough.

    It runs another one; the smaller instance has more left at the moment.
    """
    memory = MemoryTable()
    record_memory(memory, "a", 500)
    record_memory(memory, "b", 1000)
    other = make_submission((100, 500, 500))
    found = lay_in(memory, ["b"], other)
    return found + lay_in(memory, ["a", "b"], make_submission(LONG, SHORT))


def lay_after_end() -> str:
    """Return where a long item is laid before and after another's end."""
    memory = MemoryTable()
    record_memory(memory, "a", 1000)
    first, second = make_submission(LONG), make_submission(LONG)
    found = lay_in(memory, ["a"], first) + lay_in(memory, ["a"], second)
    memory.end_item("a", first.items["i0"])
    return found + lay_in(memory, ["a"], second)


def estimate_need_after(*ratios: float) -> int:
    """Return the tokens of an item after texts of so much of their hint."""
    memory = MemoryTable()
    for ratio in ratios:
        state = make_submission((1, 1000, 0)).items["i0"]
        state.last_event = int(1000 * ratio)
        memory.record_length("m", state, NOW)
    return memory.estimate_need(
        "m", Item("i", "/", [], b"", "g", 100, None, 9)
    ).total


def list_fetched(
    *, is_awaited: bool, later_s: float, total: int | None
) -> int:
    """Return how many of twenty instances are asked again after a while."""
    memory = MemoryTable()
    found = [
        ListedInstance(f"i{n}", "u", ADDRESS, "z", 4, False) for n in range(20)
    ]
    for instance in found:
        record_memory(memory, instance.name, total)
    return len(memory.list_due(found, is_awaited, NOW + later_s))


async def check_long_items(fleet: GatewayFleet) -> bool:
    """Check that items of which one fits never run side by side.

    A prompt that fits nowhere isn't sent, and its item ends.
    """
    for sampler in fleet.cluster.samplers.values():
        sampler.kv_used, sampler.kv_total = 0, 1000
    history = make_history("long", 13)
    sizes = [(100, 600, 700)] * 12 + [(1000, 10, 10)]
    for item, (prompt, hint, largest) in zip(history.submission.items, sizes):
        item.headers.append(("Token-Counts", f"{prompt},{largest}"))
        item.headers.append(("Length-Hint", str(hint)))
    # The holder learns the memory with the first, short items.
    first = make_history("first", 1)
    first.submission.items[0].headers.append(("Token-Counts", "1,5"))
    await submit(fleet, first, Random(1))
    await trio.sleep(3.0)
    await submit(fleet, history, Random(2))
    peak = 0
    for _ in range(1200):
        await trio.sleep(0.02)
        running = [
            sampler.running
            for name, sampler in fleet.cluster.samplers.items()
            if name.startswith("s")
        ]
        peak = max(peak, *running)
    found = await count_results(fleet, history)
    return peak == 1 and found == (12, 1)


async def count_results(
    fleet: GatewayFleet, history: SubmissionHistory
) -> tuple[int, int]:
    """Return how many items are completed, and how many ended without."""
    page = await read_page(fleet, history, Random(3))
    results = page.results if page else []
    done = sum(result.state == "completed" for result in results)
    return done, len(results) - done


CASES: dict[str, tuple[Callable[[], object], object]] = {
    "two long items where one fits": (
        lambda: lay({"a": (1000, 0)}, LONG, LONG),
        "a-",
    ),
    "two long items at two instances": (
        lambda: "".join(
            sorted(lay({"a": (1000, 0), "b": (1000, 0)}, LONG, LONG))
        ),
        "ab",
    ),
    "a short item beside a long one": (
        lambda: lay({"a": (1000, 0)}, LONG, SHORT),
        "aa",
    ),
    "a long item after another's end": (lay_after_end, "a-a"),
    "items where the memory isn't known": (
        lambda: lay({"a": (None, 0)}, LONG, LONG),
        "aa",
    ),
    "items that don't tell what they need": (
        lambda: lay({"a": (10, 0)}, (0, 600, 700), (0, 600, 700)),
        "aa",
    ),
    "a long item where others use the memory": (
        lambda: lay({"a": (1000, 400), "b": (900, 0)}, LONG),
        "b",
    ),
    "a long item where others used the memory long ago": (
        lambda: lay({"a": (1000, 400)}, LONG, SHORT, later_s=20.0),
        "aa",
    ),
    "an item that needs more than there is runs alone": (
        lambda: lay({"a": (600, 0)}, LONG, SHORT),
        "a-",
    ),
    "an instance that alone has enough for a long item": (
        hold_for_long,
        "b-a",
    ),
    "an instance that a long item waits for": (
        lambda: lay({"a": (1000, 0)}, LONG, LONG, SHORT),
        "a--",
    ),
    "the margin without experience": (lambda: estimate_need_after(), 232),
    "the margin after exact hints": (
        lambda: estimate_need_after(*[1.0] * 60) < 115,
        True,
    ),
    "the margin after poor hints": (
        lambda: estimate_need_after(*[0.3, 3.0] * 30) > 600,
        True,
    ),
    "reports while nothing runs": (
        lambda: list_fetched(is_awaited=False, later_s=9.0, total=1000),
        0,
    ),
    "reports while an item waits for memory": (
        lambda: list_fetched(is_awaited=True, later_s=9.0, total=1000),
        8,
    ),
    "reports of instances that don't tell": (
        lambda: list_fetched(is_awaited=True, later_s=9.0, total=None),
        0,
    ),
}
