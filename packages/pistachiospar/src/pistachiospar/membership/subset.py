"""Subsetting: which entries link to which instances.

Each instance is linked by a fixed number of entries, preferably of its own
availability zone, ranked by rendezvous hashing. So every instance is linked,
and an entry that comes or goes moves only its own links.
"""

from collections.abc import Iterable

from ..helpers.rendezvous import rank_names
from ..live_state.models import EntryRecord
from ..ports.instances import Instance
from .const import ENTRIES_PER_INSTANCE
from .const import SMALL_UPSTREAM_INSTANCES


def rank_entries(
    instance: Instance, entries: Iterable[EntryRecord]
) -> list[str]:
    """Return the entries that link to an instance, highest rank first.

    At least one of them is from another zone where possible.
    """
    by_zone: dict[bool, list[str]] = {True: [], False: []}
    for entry in entries:
        by_zone[entry.zone == instance.zone].append(entry.name)
    near = rank_names(instance.name, by_zone[True])
    far = rank_names(instance.name, by_zone[False])
    max_near = ENTRIES_PER_INSTANCE - 1
    return [*near[:max_near], *far, *near[max_near:]][:ENTRIES_PER_INSTANCE]


def choose_subset(
    entry: EntryRecord,
    entries: Iterable[EntryRecord],
    instances: Iterable[Instance],
) -> list[Instance]:
    """Return the instances that an entry links to.

    Small upstreams are linked by every entry.
    """
    known = {record.name: record for record in entries}
    known[entry.name] = entry
    by_upstream: dict[str, list[Instance]] = {}
    for instance in instances:
        by_upstream.setdefault(instance.upstream, []).append(instance)
    chosen: list[Instance] = []
    for members in by_upstream.values():
        if len(members) <= SMALL_UPSTREAM_INSTANCES:
            chosen.extend(members)
            continue
        chosen.extend(
            instance
            for instance in members
            if entry.name in rank_entries(instance, known.values())
        )
    return chosen
