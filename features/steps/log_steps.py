"""Step definitions for bounded logs, traces and the metrics exporter."""

from behave.runner import Context
from behave import then
from behave import when
from support.log_cases import count_admitted
from support.log_cases import count_exported
from support.log_cases import find_exporter_imports
from support.log_cases import LINE
from support.log_cases import write_to_slow_reader
from support.log_schema import collect_lines
from support.log_schema import find_violations
from support.trace_cases import trace_log

MAX_LINES = 300


@when("{count:d} lines of a kilobyte are written to a pipe that is read late")
def write_late(context: Context, count: int) -> None:
    """Write all lines before any is read."""
    context.count = count
    context.found = write_to_slow_reader(count)


@then("the writer did not block, and dropped and counted the other lines")
def check_dropped(context: Context) -> None:
    """Check that each line was either read or counted as dropped."""
    dropped, dropped_at_end, read = context.found
    assert dropped == dropped_at_end > 0, context.found[:2]
    assert dropped + len(read) // len(LINE) == context.count


@then("the buffered lines are read complete and in order")
def check_read(context: Context) -> None:
    """Check that no line was split."""
    read = context.found[2]
    assert read == LINE * (len(read) // len(LINE))


@when("{lines:d} lines of an event are logged in each of two seconds")
def log_many_lines(context: Context, lines: int) -> None:
    """Count the lines that the limiter admits."""
    context.lines = lines
    context.found = count_admitted(MAX_LINES, lines)


@then("{limit:d} are written in each second and the others are counted")
def check_admitted(context: Context, limit: int) -> None:
    """Compare both seconds and the number of suppressed lines."""
    expected = (limit, limit, 2 * (context.lines - limit))
    assert context.found == expected, context.found


@when("gateways run cases with refusals, unknown outcomes and a crash")
def run_failing_cases(context: Context) -> None:
    """Collect the log lines of a few cases."""
    context.lines = collect_lines()


@then("each log line has the fields that identify its cause")
def check_lines(context: Context) -> None:
    """Check the lines against the required events and fields."""
    violations = find_violations(context.lines)
    assert not violations, violations[:5]


@when("a small log is traced from {wanted_id}")
def trace_small_log(context: Context, wanted_id: str) -> None:
    """Trace an id, as pistachioctl does."""
    context.found = trace_log(wanted_id)


@then("the trace shows {lines}")
def check_trace(context: Context, lines: str) -> None:
    """Compare the events, in order."""
    assert context.found == lines.split(", "), context.found


@when("the gateway's modules are imported in a new process")
def import_gateway(context: Context) -> None:
    """Find the exporters among the imported modules."""
    context.found = find_exporter_imports("pistachiospar.gateway.process")


@then("neither OpenTelemetry nor Prometheus is imported")
def check_imports(context: Context) -> None:
    """Check that the start isn't delayed by importing the exporter."""
    assert context.found == [], context.found
    assert find_exporter_imports("pistachiospar.telemetry.exporter")


@when(
    "{early:d} durations are observed before an exporter starts"
    " and {late:d} after"
)
def observe_durations(context: Context, early: int, late: int) -> None:
    """Observe durations before and after the exporter starts."""
    context.found = count_exported(early, late)


@then("the exporter reports {count:d} durations")
def check_exported(context: Context, count: int) -> None:
    """Compare the histogram's count."""
    assert context.found == count, context.found
