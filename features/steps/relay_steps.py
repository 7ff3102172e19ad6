"""Step definitions for responses that samplers break off."""

from behave.runner import Context
from behave import then
from behave import when
from support import endless_load
from support import fuzz_cases
from support import hanging_samplers
from support import late_copies
from support import odd_entries
from support import relay_cases
from support.seed_checks import check_seeds
from support import status_cases

FUZZ_SEED = 20261205


@when("streams break off and the next sampler sends {answer}")
def break_streams(context: Context, answer: str) -> None:
    """Break streams off in several ways."""
    context.problems = relay_cases.break_streams(answer)


@when("a response with {framing} is cut and the sampler {ending}")
def cut_responses(context: Context, framing: str, ending: str) -> None:
    """Cut a response at each byte."""
    context.problems = relay_cases.cut_responses(framing, ending)


@then("callers get the whole response or see that it is none")
def check_responses(context: Context) -> None:
    """Check what callers got."""
    assert not context.problems, "\n".join(context.problems)


@when("a caller sends {name} with letters outside ASCII")
def pass_header(context: Context, name: str) -> None:
    """Send a header to a sampler and back."""
    context.problems = relay_cases.pass_header(name)


@then("the bytes arrive as they were sent, and the next call is served")
def check_header(context: Context) -> None:
    """Check what sampler and caller received."""
    assert not context.problems, context.problems


@then("{count:d} seeds of random {fed} end no gateway")
def feed_gateways(context: Context, count: int, fed: str) -> None:
    """Feed gateways; hypothesis draws the same seeds in each run."""
    check_seeds(count, FUZZ_SEED, lambda seed: fuzz_cases.run_seed(fed, seed))


@when("a sampler answers calls of each kind with the status {status}")
def answer_strangely(context: Context, status: str) -> None:
    """Make a call of each kind."""
    context.faults = status_cases.find_faults(status)


@then("callers see that it is no answer")
def check_no_answer(context: Context) -> None:
    """Check that no call had an answer."""
    assert not context.faults, context.faults


@when("samplers send {sent} without end to many calls")
def send_without_end(context: Context, sent: str) -> None:
    """Make calls to them beside sound ones."""
    context.grown, context.lost = endless_load.run_beside(sent)


@then("the gateway's memory is bounded and other callers are served")
def check_load(context: Context) -> None:
    """Check the memory and the sound calls."""
    assert context.grown < endless_load.MAX_GROWTH_BYTES, context.grown
    assert not context.lost, context.lost


@when("a response of tiny chunks is read that came at once")
def read_tiny_chunks(context: Context) -> None:
    """Read it beside another task."""
    context.chunks, context.turns = endless_load.count_turns()


@then("other tasks run after every {count:d} of them")
def check_turns(context: Context, count: int) -> None:
    """Check how often the other task ran."""
    assert context.chunks == endless_load.TINY_COUNT, context.chunks
    assert context.turns >= context.chunks // (count + 1), context.turns


@when("another writer lists entries with {value}, and a sampler replaces one")
def list_odd_entries(context: Context, value: str) -> None:
    """List an entry for each field."""
    context.problems = odd_entries.list_beside(value)


@when("one of two samplers names a weight version of {digits:d} digits")
def name_odd_version(context: Context, digits: int) -> None:
    """Run steps at both samplers."""
    context.problems = odd_entries.stream_version("9" * digits)


@then("the calls and steps before and after it are served")
def check_odd(context: Context) -> None:
    """Check that nothing was lost, and that no error was unforeseen."""
    assert not context.problems, context.problems


@when("unsafe calls are rejected, and each rejection is sent again late")
def copy_rejections(context: Context) -> None:
    """Make the calls."""
    context.faults = late_copies.find_faults()


@then("none runs twice, and none that ran is refused")
def check_copies(context: Context) -> None:
    """Check runs and answers."""
    assert not context.faults, context.faults


@when(
    "streams reach a sampler that hangs after {events:d} events, {beside}"
    " beside it"
)
def hang(context: Context, events: int, beside: str) -> None:
    """Request streams."""
    context.faults = hanging_samplers.find_faults(events, beside == "one")


@then("each has its end in time, and the next sampler's text where it may")
def check_hanging(context: Context) -> None:
    """Check what callers got, and when."""
    assert not context.faults, context.faults


@then("the limit of a silence is right where {load}")
def check_limit(context: Context, load: str) -> None:
    """Check a decision."""
    assert hanging_samplers.is_limit_right(load)
