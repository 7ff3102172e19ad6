"""Steps on bounded logs."""

from behave.runner import Context
from behave import then
from behave import when
from support.log_cases import count_admitted
from support.log_cases import count_exported
from support.log_cases import find_exporters
from support.log_cases import LINE
from support.log_cases import write_to_a_slow_reader
from support.log_schema import collect_lines
from support.log_schema import find_faults
from support.trace_cases import walk_log

MOST = 300


@when("{count:d} lines of a kilobyte go to a reader that is late")
def write_late(context: Context, count: int) -> None:
    """Write lines that nobody reads yet."""
    context.count = count
    context.found = write_to_a_slow_reader(count)


@then("the writer did not wait, and dropped and counted the rest")
def check_dropped(context: Context) -> None:
    """Check that what is not read was dropped."""
    dropped, after, read = context.found
    assert dropped == after > 0, context.found[:2]
    assert dropped + len(read) // len(LINE) == context.count


@then("what was kept is read whole, in order")
def check_read(context: Context) -> None:
    """Check that no line is torn."""
    read = context.found[2]
    assert read == LINE * (len(read) // len(LINE))


@when("{lines:d} lines of a kind come in each of two seconds")
def come_fast(context: Context, lines: int) -> None:
    """Count what is admitted."""
    context.lines = lines
    context.found = count_admitted(MOST, lines)


@then("each second writes {most:d} and counts what it leaves out")
def check_admitted(context: Context, most: int) -> None:
    """Compare."""
    expected = (most, most, 2 * (context.lines - most))
    assert context.found == expected, context.found


@when("gateways meet refusals, doubts, losses and a dead holder")
def meet_trouble(context: Context) -> None:
    """Collect the lines of a few cases."""
    context.lines = collect_lines()


@then("their lines say what is needed to find each cause")
def check_lines(context: Context) -> None:
    """Check the lines against what they must say."""
    faults = find_faults(context.lines)
    assert not faults, faults[:5]


@when("a small log is walked from {wanted}")
def walk_small(context: Context, wanted: str) -> None:
    """Walk a log."""
    context.found = walk_log(wanted)


@then("the walk shows {lines}")
def check_walk(context: Context, lines: str) -> None:
    """Compare the kinds of lines, in order."""
    assert context.found == lines.split(", "), context.found


@when("a gateway's modules are loaded by themselves")
def load_gateway(context: Context) -> None:
    """Load them in a process of their own."""
    context.found = find_exporters("pistachiospar.gateway.process")


@then("nothing of OpenTelemetry or Prometheus came with them")
def check_loaded(context: Context) -> None:
    """Check that the start does not pay for the exporter."""
    assert context.found == [], context.found
    assert find_exporters("pistachiospar.telemetry.exporter")


@when(
    "{early:d} durations are observed, an exporter opens, and {late:d} follow"
)
def observe_around(context: Context, early: int, late: int) -> None:
    """Observe before and after."""
    context.found = count_exported(early, late)


@then("the exporter tells of {count:d}")
def check_exported(context: Context, count: int) -> None:
    """Compare."""
    assert context.found == count, context.found
