"""Step definitions for weight rollouts."""

from behave.runner import Context
from behave import then
from behave import when
from support.weight_rollouts import offer_weight_orders
from support.weight_rollouts import run_weight_rollout
from support.weight_rollouts import SAMPLER_COUNT


@when("weights are announced and {fault}")
def announce_weights(context: Context, fault: str) -> None:
    """Announce weights and inject a fault during the rollout."""
    context.rollout = run_weight_rollout(fault)


@then("all samplers hold them within {seconds:g} s")
def check_loaded(context: Context, seconds: float) -> None:
    """Check the time, in virtual seconds."""
    assert context.rollout.took_s <= seconds, context.rollout.took_s


@then("the store is read at most {reads:d} times")
def check_reads(context: Context, reads: int) -> None:
    """Check the number of reads by all sidecars and engines."""
    assert context.rollout.store_reads <= reads, context.rollout.store_reads


@then("at least half of the samplers keep serving and every call is done")
def check_serving(context: Context) -> None:
    """Check the size of waves, and the calls meanwhile."""
    rollout = context.rollout
    assert rollout.max_swapping <= SAMPLER_COUNT // 2, rollout.max_swapping
    assert rollout.calls_done == rollout.calls, rollout


@when("a sidecar is offered older orders")
def offer_outdated_orders(context: Context) -> None:
    """Offer orders to a sidecar that keeps running."""
    context.refusals = offer_weight_orders(restart=False)


@when("a restarted sidecar is offered older orders")
def offer_outdated_orders_after_restart(context: Context) -> None:
    """Offer orders to a sidecar that was restarted."""
    context.refusals = offer_weight_orders(restart=True)


@then("it refuses the older version and accepts the newer one")
def check_refusals(context: Context) -> None:
    """Check what was refused and what the engine holds."""
    older, _, newest, held = context.refusals
    assert older, "version 4 was accepted after version 5"
    assert not newest or held == "6", newest
    assert held == "6", held


@then("an order with an older fence is refused whatever its version")
def check_fence(context: Context) -> None:
    """Check the order with a newer version and an older fence."""
    assert "fence" in context.refusals[1], context.refusals
