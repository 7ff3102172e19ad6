"""Cases of counting and merging, without a network."""

from random import Random

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
from pistachiospar.usage.clock import SteadyClock
from pistachiospar.usage.ledger import UsageLedger
from pistachiospar.usage.messages import CountsMessage
from pistachiospar.usage.recorder import UsageRecorder

WINDOW_S = 5.0
DUE_S = 10.0
CALLS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("life-a", "life-b", "life-c")),
        strategies.sampled_from(("org-a", "org-b")),
        strategies.sampled_from((0.5, 4.9, 5.1)),
    ),
    max_size=40,
)


def make_ledger(next_window: int = 0) -> UsageLedger:
    """Return a ledger that collects nothing first."""
    return UsageLedger(WINDOW_S, DUE_S, next_window, 0.0)


def send_randomly(
    calls: list[tuple[str, str, float]], rng: Random
) -> tuple[dict[str, UsageRecorder], list[CountsMessage]]:
    """Count calls; return the recorders and the messages, shuffled.

    Confirmations are lost or come at random times; messages come twice.
    """
    recorders: dict[str, UsageRecorder] = {}
    messages: list[CountsMessage] = []
    for life, organisation, at_s in calls:
        recorder = recorders.setdefault(
            life, UsageRecorder(WINDOW_S, lambda: 10.0)
        )
        recorder.record(organisation, at_s)
        if rng.random() < 0.6:
            messages.append(recorder.make_message(life, life))
    for life, recorder in recorders.items():
        messages.append(recorder.make_message(life, life))
    messages += [m for m in messages if rng.random() < 0.3]
    rng.shuffle(messages)
    return recorders, messages


def find_merge_violations() -> list[str]:
    """Merge counts in random orders at two holders, one after another."""

    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(CALLS, strategies.integers(0, 2**32))
    def check(calls: list[tuple[str, str, float]], number: int) -> None:
        rng = Random(number)
        recorders, messages = send_randomly(calls, rng)
        first, second = make_ledger(), make_ledger()
        for message in messages:
            ledger = rng.choice((first, second))
            ledger.receive(message, 10.0)
            if rng.random() < 0.5:
                part = first.take_dirty()
                second.merge_part(part)
                first.record_durable(first.read_sequences())
            life = message.life
            recorders[life].confirm(first.durable_sequences.get(life, 0))
        for life, recorder in recorders.items():
            second.receive(recorder.make_message(life, life), 10.0)
        for window in (0, 1):
            expected: dict[str, int] = {}
            for _, organisation, at_s in calls:
                if int(at_s // WINDOW_S) == window:
                    known = expected.get(organisation, 0)
                    expected[organisation] = known + 1
            assert second.sum_counts(window) == expected, (
                window,
                second.sum_counts(window),
                expected,
            )

    check()
    return []


def find_late_violations() -> list[str]:
    """Fix a window, then receive further and repeated counts of it."""
    ledger = make_ledger()
    early = CountsMessage("g", "life", 1, 3.0, {0: {"org": 2}})
    ledger.receive(early, 6.0)
    ledger.take_dirty()
    due = ledger.choose_due(["life"], 11.9)
    if due:
        return ["fixed early though a gateway was not complete"]
    due = ledger.choose_due(["life"], 12.0)
    late = CountsMessage("g", "life", 2, 3.0, {0: {"org": 5}})
    ledger.receive(early, 12.0)
    ledger.receive(late, 12.0)
    ledger.record_fixed([0])
    ledger.receive(late, 12.0)
    found = ledger.take_late()
    problems = [] if due == [(0, {"org": 2})] else [f"fixed {due}"]
    if [(f.window, f.number, f.certain) for f in found] != [(0, 3, True)]:
        problems.append(f"late {found}")
    if ledger.take_dirty() or ledger.choose_due([], 12.0):
        problems.append("the fixed window was opened again")
    return problems


def find_clock_violations() -> list[str]:
    """Step the time of day for 8 s, then for good."""
    boot_s, step_s = 0.0, 0.0
    clock = SteadyClock(lambda: 1000.0 + boot_s + step_s, lambda: boot_s)
    problems: list[str] = []
    for second in range(200):
        boot_s = float(second)
        step_s = -3.0 if 50 <= second < 58 or second >= 100 else 0.0
        clock.sample()
        error_s = clock.read_s() - 1000.0 - boot_s
        if second < 100 and error_s:
            problems.append(f"off by {error_s} at {second}")
        if second > 150 and error_s != -3.0:
            problems.append(f"not corrected at {second}")
    return problems
