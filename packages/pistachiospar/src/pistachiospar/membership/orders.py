"""Support weight rollout: which order each sidecar gets, in which wave.

Every entry works the waves out alike from the instance list, so that no
process has to lead a rollout and none can fail in the middle of it.
"""

import math
from typing import Final

from ..bundle.models import Bundle
from ..bundle.models import Upstream
from ..helpers.rendezvous import rank_names
from ..link.messages import WeightOrder
from ..live.models import AnnouncedWeights
from ..ports.instances import Instance
from ..relay.tree import find_ancestors

WAVE_S: Final = 2.5


def make_weight_orders(
    bundle: Bundle,
    announced: dict[str, AnnouncedWeights],
    instance: Instance,
    members: list[Instance],
    held: dict[str, int],
    loaded: frozenset[str],
) -> list[WeightOrder]:
    """Return the orders that an instance has not yet carried out.

    `held` are the versions it certainly holds, `loaded` the models it
    serves at all: one that serves nothing yet need not wait for its wave.
    """
    orders: list[WeightOrder] = []
    for trainer in bundle.trainers:
        weights = announced.get(trainer.name)
        upstream = bundle.find_upstream(trainer.upstream)
        if weights is None or upstream is None:
            continue
        if trainer.upstream != instance.upstream:
            continue
        if held.get(trainer.name, 0) >= weights.version:
            continue
        wave = 0
        if trainer.name in loaded:
            wave = choose_wave(upstream, weights, instance, members)
        orders.append(
            WeightOrder(
                model=trainer.name,
                version=weights.version,
                source=weights.source,
                fence=weights.fence,
                delay_s=WAVE_S * wave,
                ancestors=find_ancestors(
                    f"{weights.trainer}/{weights.version}", instance, members
                ),
            )
        )
    return orders


def choose_wave(
    upstream: Upstream,
    weights: AnnouncedWeights,
    instance: Instance,
    members: list[Instance],
) -> int:
    """Return an instance's wave, from 0, for one version.

    A wave takes as many instances as the agreed serving share leaves free.
    """
    names = sorted(member.name for member in members)
    if instance.name not in names:
        return 0
    free = math.floor(len(names) * (1.0 - upstream.min_serving_share))
    key = f"{weights.trainer}\0{weights.version}"
    position = rank_names(key, names).index(instance.name)
    return position // max(1, free)
