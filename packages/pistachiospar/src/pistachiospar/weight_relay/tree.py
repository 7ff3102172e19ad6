"""Tree along which weights are relayed.

The instances of an upstream in one availability zone form a tree by
rendezvous rank, which every process computes alike; its root reads the store.
"""

from ..helpers.rendezvous import rank_names
from ..ports.instances import Instance
from .const import FANOUT


def find_ancestors(
    key: str, instance: Instance, members: list[Instance]
) -> list[str]:
    """Return the data addresses of an instance's ancestors, nearest first.

    Empty for the root, and for an instance that is leaving.
    """
    by_name = {
        member.name: member
        for member in members
        if member.zone == instance.zone and not member.leaving
    }
    if instance.name not in by_name:
        return []
    ranked = rank_names(key, by_name)
    position = ranked.index(instance.name)
    ancestors: list[str] = []
    while position:
        position = (position - 1) // FANOUT
        ancestors.append(by_name[ranked[position]].data)
    return ancestors
