"""Choice of the model assigned to each instance, and of weight loads."""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

from . import const
from ..routing.instances import ListedInstance
from .demand import share_instances


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A version of a model that an instance is to load."""

    instance: str
    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """What the open work of a model needs.

    `named_version` is the newest one that its trainer named,
    `required_version` the oldest one that serves all open work.
    `backlog_s` is the waiting work in seconds of one slot;
    `busy_instances` run items of the model.
    """

    named_version: int
    required_version: int
    backlog_s: float
    busy_instances: frozenset[str]


def assign_models(
    instances: Collection[ListedInstance],
    work_s: Mapping[str, float],
    previous: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
) -> dict[str, str]:
    """Return the model that each instance is kept up to date for.

    Instances are shared in proportion to `work_s`, each model's work in
    seconds. An instance keeps its model while the model's share has room;
    the others get the model of which they hold the newest version.
    """
    open_shares = share_instances(dict(work_s), len(instances))
    assigned: dict[str, str] = {}
    unassigned: list[str] = []
    for name in sorted(instance.name for instance in instances):
        model = previous.get(name, "")
        if open_shares.get(model, 0) > 0:
            assigned[name] = model
            open_shares[model] -= 1
        else:
            unassigned.append(name)
    for name in unassigned:
        models = [model for model in open_shares if open_shares[model] > 0]
        if not models:
            break
        model = min(models, key=lambda m: (-held.get((name, m), 0), m))
        assigned[name] = model
        open_shares[model] -= 1
    return assigned


def choose_loads(
    assigned: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
    needs: Mapping[str, ModelNeed],
    loading: Mapping[str, str],
    free: Mapping[str, int],
) -> list[PlannedLoad]:
    """Return the loads to order now, the most urgent first.

    An instance too old for open work loads at once. One that can still
    serve it loads when its model has no work there. A model with a long
    backlog gets an extra instance. `loading` maps instances to the model
    that they load now, `free` counts their free slots.
    """
    limit = max(
        const.MIN_CONCURRENT_LOADS,
        round(len(assigned) * const.CONCURRENT_LOADS_SHARE),
    )
    urgent: list[PlannedLoad] = []
    idle: list[PlannedLoad] = []
    for name, model in sorted(assigned.items()):
        need = needs.get(model)
        version = held.get((name, model), const.FIRST_VERSION)
        if need is None or name in loading or version >= need.named_version:
            continue
        load = PlannedLoad(name, model, need.named_version)
        if version < need.required_version:
            urgent.append(load)
        elif not need.backlog_s and name not in need.busy_instances:
            idle.append(load)
    taken = {load.instance for load in urgent} | loading.keys()
    urgent += _find_extra_loads(assigned, held, needs, loading, free, taken)
    # Loads that work waits for come first and may use twice the limit.
    chosen = urgent[: max(0, 2 * limit - len(loading))]
    return chosen + idle[: max(0, limit - len(loading) - len(chosen))]


def _find_extra_loads(
    assigned: Mapping[str, str],
    held: Mapping[tuple[str, str], int],
    needs: Mapping[str, ModelNeed],
    loading: Mapping[str, str],
    free: Mapping[str, int],
    taken: Collection[str],
) -> list[PlannedLoad]:
    """Return a load on an extra instance for each model with a backlog."""
    found: list[PlannedLoad] = []
    used = set(taken)
    for model, need in sorted(needs.items()):
        usable = [
            name
            for name in assigned
            if held.get((name, model), const.FIRST_VERSION)
            >= need.required_version
            or loading.get(name) == model
            or assigned[name] == model
        ]
        slots = sum(max(1, free.get(name, 0)) for name in usable)
        if need.backlog_s <= const.MAX_BACKLOG_S * max(1, slots):
            continue
        available = [n for n in assigned if n not in usable and n not in used]
        if not available:
            continue
        name = min(available, key=lambda n: (-free.get(n, 0), n))
        used.add(name)
        found.append(PlannedLoad(name, model, need.named_version))
    return found
