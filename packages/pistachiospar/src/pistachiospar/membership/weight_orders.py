"""Weight rollout: the orders that each sidecar gets and their waves.

Every entry computes the same waves from the instance list, so that a rollout
has no leader that could fail in the middle of it.
"""

import math
from typing import Final

from ..bundle.models import Bundle
from ..bundle.models import Upstream
from ..helpers.rendezvous import rank_names
from ..link.messages import WeightOrder
from ..live_state.models import AnnouncedWeights
from ..ports.instances import Instance
from ..weight_relay.tree import find_ancestors

WAVE_INTERVAL_S: Final = 2.5


def make_weight_orders(
    bundle: Bundle,
    announced: dict[str, AnnouncedWeights],
    instance: Instance,
    members: list[Instance],
    held: dict[str, int],
    loaded: frozenset[str],
) -> list[WeightOrder]:
    """Return the orders that an instance has not carried out yet.

    `held` has the versions it certainly holds, `loaded` the models that it
    serves at all: a model that it doesn't serve yet needs no wave.
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
                delay_s=WAVE_INTERVAL_S * wave,
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
    """Return an instance's wave for one version, from 0.

    The waves are as large as the upstream's minimum serving share allows.
    """
    names = sorted(member.name for member in members)
    if instance.name not in names:
        return 0
    wave_size = math.floor(len(names) * (1.0 - upstream.min_serving_share))
    key = f"{weights.trainer}\0{weights.version}"
    position = rank_names(key, names).index(instance.name)
    return position // max(1, wave_size)
