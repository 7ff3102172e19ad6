"""Support the baselines: plain policies put in place of the project's."""

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

TURNS: dict[str, int] = {}


def choose_round_robin(
    views: Iterable[InstanceView],
    request: CallerRequest,
    avoid: Collection[str],
    zone: str,
    now: float,
    rng: Random,
) -> Choice:
    """Choose the next instance in turn, whatever its load."""
    names = sorted(view.name for view in views if view.status is not None)
    if not names:
        return NoInstance("no instance", 1.0)
    turn = TURNS[request.upstream.name] = (
        TURNS.get(request.upstream.name, 0) + 1
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
    """Choose the instance that last reported the least load."""
    heard = [view for view in views if view.status is not None]
    if not heard:
        return NoInstance("no instance", 1.0)

    def count(view: InstanceView) -> int:
        status = view.status
        return status.running + status.queued if status else 0

    best = min(heard, key=lambda view: (count(view), view.name))
    return Chosen(best.name, "least reported")


def leave_alone(view: StragglerView) -> StragglerAction:
    """Do nothing about stragglers."""
    return StragglerAction.LEAVE


CHOICES = {
    "round robin": choose_round_robin,
    "least reported": choose_least_reported,
}


@contextmanager
def use_policy(name: str) -> Iterator[None]:
    """Put a baseline's choice and remedy in place; `ours` changes nothing."""
    TURNS.clear()
    with ExitStack() as stack:
        if name != "ours":
            for module in ("requests.coordinator", "trainers.dispatch"):
                target = f"pistachiospar.{module}.choose_instance"
                stack.enter_context(patch(target, CHOICES[name]))
            target = "pistachiospar.trainers.runner.decide_straggler_action"
            stack.enter_context(patch(target, leave_alone))
        yield
