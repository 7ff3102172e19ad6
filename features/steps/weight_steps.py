"""Steps on weight rollouts."""

from behave.runner import Context
from behave import then
from behave import when
from support.weight_rollouts import offer_orders
from support.weight_rollouts import run_weights
from support.weight_rollouts import SAMPLERS


@when("weights are announced and {blow}")
def roll_weights(context: Context, blow: str) -> None:
    """Roll weights out."""
    context.weights = run_weights(blow)


@then("all samplers hold them within {seconds:g} s")
def check_loaded(context: Context, seconds: float) -> None:
    """Check the time, in virtual seconds."""
    assert context.weights.took_s <= seconds, context.weights.took_s


@then("the store is read at most {reads:d} times")
def check_reads(context: Context, reads: int) -> None:
    """Check the store's readings."""
    assert context.weights.store_reads <= reads, context.weights.store_reads


@then("half of the samplers serve on and no call is cut")
def check_serving(context: Context) -> None:
    """Check the waves and the interactive calls."""
    weights = context.weights
    assert weights.most_swapping <= SAMPLERS // 2, weights.most_swapping
    assert weights.calls_done == weights.calls, weights


@when("a sidecar is offered older orders")
def offer_older(context: Context) -> None:
    """Offer orders to a sidecar that runs on."""
    context.refusals = offer_orders(restart=False)


@when("a restarted sidecar is offered older orders")
def offer_older_restarted(context: Context) -> None:
    """Offer orders to a sidecar that was restarted."""
    context.refusals = offer_orders(restart=True)


@then("it refuses the older version and takes the newer one")
def check_refusals(context: Context) -> None:
    """Check what was refused and what the engine holds."""
    older, _, newest, held = context.refusals
    assert older, "version 4 was taken after version 5"
    assert not newest or held == "6", newest
    assert held == "6", held


@then("an old fence is refused whatever its version")
def check_fence(context: Context) -> None:
    """Check the order with a newer version and an old fence."""
    assert "fence" in context.refusals[1], context.refusals
