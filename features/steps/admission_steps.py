"""Step definitions for full upstreams."""

from behave import given
from behave.runner import Context
from behave import then
from behave import when
from pistachiospar.shares.waiting_queue import WaitingQueue
from support import admission_decisions
from support import crowd_cases
from support import share_crowds


@when("callers send a crowd of calls: {scenario}")
def run_crowd(context: Context, scenario: str) -> None:
    """Run a crowd."""
    context.violations = crowd_cases.list_violations(scenario)


@then("the crowd breaks no bound")
def check_crowd(context: Context) -> None:
    """Check that the run found nothing."""
    assert not context.violations, context.violations


@given("{calls:d} of our calls at an instance with 4 slots")
def set_calls(context: Context, calls: int) -> None:
    """Remember our calls in flight."""
    context.in_flight = calls


@when("it {says} and {elapsed:g} s pass")
def observe_instance(context: Context, says: str, elapsed: float) -> None:
    """Decide on another call."""
    context.found = admission_decisions.decide_room(
        context.in_flight, says, elapsed
    )


@then("the instance is {state:w}")
def check_state(context: Context, state: str) -> None:
    """Compare with the expected state."""
    assert context.found == state, context.found


@given("{ahead:d} calls ahead at {rate:g} calls a second, {took:g} s each")
def set_queue(context: Context, ahead: int, rate: float, took: float) -> None:
    """Remember the queue."""
    context.queue = (ahead, rate, took)


@when(
    "a call comes with {remaining:g} s left, target 0.4 s, "
    "in a {queue:w} queue"
)
def decide_call(context: Context, remaining: float, queue: str) -> None:
    """Decide whether the call waits."""
    context.found = admission_decisions.decide_wait(
        context.queue, remaining, queue == "standing"
    )


@then("the decision is that it {answer}")
def check_answer(context: Context, answer: str) -> None:
    """Compare with the expected answer."""
    assert context.found == answer, context.found


@when("{calls:d} calls bring {retries:d} second attempts in {time:g} s")
def spend_budget(
    context: Context, calls: int, retries: int, time: float
) -> None:
    """Spend an upstream's budget."""
    context.found = admission_decisions.count_granted(calls, retries, time)


@then("{granted:d} are granted, and {stuck:d} to calls that may have run")
def check_granted(context: Context, granted: int, stuck: int) -> None:
    """Compare with the expected numbers."""
    assert context.found == (granted, stuck), context.found


@given("waiting calls by priority and organisation: {waiting}")
def fill_line(context: Context, waiting: str) -> None:
    """Fill a queue; the weights are set later."""
    context.weights = {}
    context.waiting = WaitingQueue(context.weights)
    admission_decisions.add_calls(context.waiting, waiting)


@given("room for {room:d} calls came")
def use_room(context: Context, room: int) -> None:
    """Take calls from the queue."""
    admission_decisions.take_calls(context.waiting, room)


@when("room for {room:d} calls comes, with weights {weights}")
@when("room for {room:d} calls comes, with weights ")
def take_by_weight(context: Context, room: int, weights: str = "") -> None:
    """Take calls with weights, from a queue that is filled again."""
    context.weights.update(admission_decisions.read_weights(weights))
    context.found = admission_decisions.take_calls(context.waiting, room)


@when("calls of {more} come and room for {room:d} calls")
def take_later(context: Context, more: str, room: int) -> None:
    """Add calls and take some."""
    admission_decisions.add_calls(context.waiting, more)
    context.found = admission_decisions.take_calls(context.waiting, room)


@then("they go to {taken}")
def check_taken(context: Context, taken: str) -> None:
    """Compare with the expected calls."""
    assert context.found == taken, context.found


@when("callers of several organisations fill the instances: {case}")
def run_shares(context: Context, case: str) -> None:
    """Run a case."""
    context.violations = share_crowds.run_case(case)


@then("each organisation gets its share")
def check_shares(context: Context) -> None:
    """Check that the run found nothing."""
    assert not context.violations, context.violations


@then("{ahead:d} calls go before one of {call:w}")
def check_ahead(context: Context, ahead: int, call: str) -> None:
    """Check how many calls go before a new one, and before waiting ones."""
    queue = context.waiting
    found = queue.count_ahead(int(call[0]), call[1], admission_decisions.LATER)
    assert found == ahead, found
    queue.add(call, int(call[0]), call[1], admission_decisions.LATER)
    places = {c.deadline: n for c, n in queue.list_ahead()}
    assert places[admission_decisions.LATER] == ahead, places


@when("calls with the deadlines {deadlines} wait")
def add_deadlines(context: Context, deadlines: str) -> None:
    """Take calls of one organisation by their deadlines."""
    queue: WaitingQueue[str] = WaitingQueue()
    for text in deadlines.split():
        queue.add(text, 1, "a", float(text))
    found = []
    while queue.count:
        call = queue.list_next()[0]
        queue.take(call)
        found.append(call.value)
    context.found = " ".join(found)


@then("they go in the order {order}")
def check_order(context: Context, order: str) -> None:
    """Compare with the expected order."""
    assert context.found == order, context.found
