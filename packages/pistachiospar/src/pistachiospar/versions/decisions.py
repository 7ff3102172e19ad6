"""Decide which model an instance is kept up to date for, and what loads."""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

from ..routing.instances import ListedInstance
from . import const


@dataclass(frozen=True, slots=True)
class Load:
    """Ask for a version of a model's weights at an instance."""

    instance: str
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """Say what a model's work needs.

    `named` is the newest version, `required` the oldest one that waiting
    work may use, `busy` names the instances that run work of the model.
    """

    named: int
    required: int
    waiting: bool
    busy: frozenset[str]


def assign_models(
    instances: Collection[ListedInstance],
    models: Collection[str],
    before: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
) -> dict[str, str]:
    """Return the model that each instance is kept up to date for.

    All models have the same share. An instance keeps its model while the
    model's share has room; others take what they hold newest.
    """
    if not models:
        return {}
    names = sorted(models)
    share = -(-len(instances) // len(names))
    counts = dict.fromkeys(names, 0)
    assigned: dict[str, str] = {}
    rest: list[str] = []
    for name in sorted(instance.name for instance in instances):
        model = before.get(name, "")
        if model in counts and counts[model] < share:
            assigned[name] = model
            counts[model] += 1
        else:
            rest.append(name)
    for name in rest:
        model = min(
            names,
            key=lambda m: (counts[m] >= share, -held.get((name, m), 0), counts[m]),
        )
        assigned[name] = model
        counts[model] += 1
    return _level(assigned, counts)


def _level(
    assigned: dict[str, str], counts: dict[str, int]
) -> dict[str, str]:
    """Move instances until no model has two more than another."""
    while counts:
        most = max(counts, key=lambda m: (counts[m], m))
        least = min(counts, key=lambda m: (counts[m], m))
        if counts[most] - counts[least] < 2:
            break
        name = min(n for n, model in assigned.items() if model == most)
        assigned[name] = least
        counts[most] -= 1
        counts[least] += 1
    return assigned


def choose_loads(
    assigned: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
    needs: Mapping[str, ModelNeed],
    loading: Collection[str],
) -> list[Load]:
    """Return the loads to order now, the most urgent first.

    An instance too old for waiting work loads at once. One that may still
    serve loads when its model has nothing to do there.
    """
    limit = max(
        const.LOADS_AT_ONCE, round(len(assigned) * const.LOADS_SHARE)
    )
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
        elif not need.waiting and name not in need.busy:
            idle.append(load)
    room = max(0, limit - len(loading))
    # Work that waits for weights goes before the pace of the others' loads.
    chosen = urgent[: max(room, 2 * limit - len(loading))]
    return chosen + idle[: max(0, room - len(chosen))]
