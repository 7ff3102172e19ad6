"""Decide which model an instance is kept up to date for, and what loads."""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

from . import const
from ..routing.instances import ListedInstance
from .demand import share_out


@dataclass(frozen=True, slots=True)
class Load:
    """Ask for a version of a model's weights at an instance."""

    instance: str
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """Say what a model's work needs.

    `named` is the newest version, `required` the oldest one that open work
    may use, `busy` names the instances that run work of the model.
    `waiting_s` is the work that waits, in seconds of one place.
    """

    named: int
    required: int
    waiting_s: float
    busy: frozenset[str]


def assign_models(
    instances: Collection[ListedInstance],
    weights: Mapping[str, float],
    before: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
) -> dict[str, str]:
    """Return the model that each instance is kept up to date for.

    Shares follow the weights. An instance keeps its model while the model's
    share has room; the others take what they hold newest.
    """
    room = share_out(dict(weights), len(instances))
    assigned: dict[str, str] = {}
    rest: list[str] = []
    for name in sorted(instance.name for instance in instances):
        model = before.get(name, "")
        if room.get(model, 0) > 0:
            assigned[name] = model
            room[model] -= 1
        else:
            rest.append(name)
    for name in rest:
        models = [model for model in room if room[model] > 0]
        if not models:
            break
        model = min(models, key=lambda m: (-held.get((name, m), 0), m))
        assigned[name] = model
        room[model] -= 1
    return assigned


def choose_loads(
    assigned: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
    needs: Mapping[str, ModelNeed],
    loading: Mapping[str, str],
    free: Mapping[str, int],
) -> list[Load]:
    """Return the loads to order now, the most urgent first.

    An instance too old for open work loads at once. One that may still
    serve loads when its model has nothing to do there. A model whose work
    would wait for long takes a further instance. `loading` names the model
    that an instance loads now, `free` its free places.
    """
    limit = max(const.LOADS_AT_ONCE, round(len(assigned) * const.LOADS_SHARE))
    urgent: list[Load] = []
    idle: list[Load] = []
    for name, model in sorted(assigned.items()):
        need = needs.get(model)
        version = held.get((name, model), const.FIRST_VERSION)
        if need is None or name in loading or version >= need.named:
            continue
        load = Load(name, model, need.named)
        if version < need.required:
            urgent.append(load)
        elif not need.waiting_s and name not in need.busy:
            idle.append(load)
    taken = {load.instance for load in urgent} | loading.keys()
    urgent += _find_helpers(assigned, held, needs, loading, free, taken)
    # Work that waits for weights goes before the pace of the others' loads.
    chosen = urgent[: max(0, 2 * limit - len(loading))]
    return chosen + idle[: max(0, limit - len(loading) - len(chosen))]


def _find_helpers(
    assigned: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
    needs: Mapping[str, ModelNeed],
    loading: Mapping[str, str],
    free: Mapping[str, int],
    taken: Collection[str],
) -> list[Load]:
    """Return a further instance for each model whose work waits long."""
    found: list[Load] = []
    used = set(taken)
    for model, need in sorted(needs.items()):
        usable = [
            name
            for name in assigned
            if held.get((name, model), const.FIRST_VERSION) >= need.required
            or loading.get(name) == model
            or assigned[name] == model
        ]
        places = sum(max(1, free.get(name, 0)) for name in usable)
        if need.waiting_s <= const.BACKLOG_S * max(1, places):
            continue
        others = [n for n in assigned if n not in usable and n not in used]
        if not others:
            continue
        name = min(others, key=lambda n: (-free.get(n, 0), n))
        used.add(name)
        found.append(Load(name, model, need.named))
    return found
