"""Baseline policies, patched in place of the product's decisions."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from contextlib import ExitStack
from random import Random
from unittest.mock import patch

from pistachiospar.membership.models import InstanceView
from pistachiospar.requests.models import CallerRequest
from pistachiospar.requests.models import Choice
from pistachiospar.requests.models import Chosen
from pistachiospar.requests.models import NoInstance
from pistachiospar.trainers.decisions import StragglerAction
from pistachiospar.trainers.decisions import StragglerView

LAST_TURNS: dict[str, int] = {}


def choose_round_robin(
    views: Iterable[InstanceView],
    request: CallerRequest,
    avoid: Collection[str],
    zone: str,
    now: float,
    rng: Random,
) -> Choice:
    """Choose the instances in turn, by name, whatever their load."""
    names = sorted(view.name for view in views if view.status is not None)
    if not names:
        return NoInstance("no instance", 1.0)
    turn = LAST_TURNS[request.upstream.name] = (
        LAST_TURNS.get(request.upstream.name, 0) + 1
    )
    return Chosen(names[turn % len(names)], "its turn")


def choose_least_reported(
    views: Iterable[InstanceView],
    request: CallerRequest,
    avoid: Collection[str],
    zone: str,
    now: float,
    rng: Random,
) -> Choice:
    """Choose the instance whose last status had the fewest requests."""
    reported = [view for view in views if view.status is not None]
    if not reported:
        return NoInstance("no instance", 1.0)

    def count_requests(view: InstanceView) -> int:
        status = view.status
        return status.running + status.queued if status else 0

    best = min(reported, key=lambda view: (count_requests(view), view.name))
    return Chosen(best.name, "least reported")


def ignore_straggler(view: StragglerView) -> StragglerAction:
    """Leave every straggler running."""
    return StragglerAction.LEAVE


CHOICE_FUNCTIONS = {
    "round robin": choose_round_robin,
    "least reported": choose_least_reported,
}


@contextmanager
def use_policy(name: str) -> Iterator[None]:
    """Patch a baseline in; `ours` is the product's own and patches nothing."""
    LAST_TURNS.clear()
    with ExitStack() as stack:
        if name != "ours":
            for module in ("requests.coordinator", "trainers.dispatch"):
                target = f"pistachiospar.{module}.choose_instance"
                stack.enter_context(patch(target, CHOICE_FUNCTIONS[name]))
            target = "pistachiospar.trainers.runner.decide_straggler_action"
            stack.enter_context(patch(target, ignore_straggler))
        yield
