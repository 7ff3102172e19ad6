"""Support subsets: which entries link to which instances.

Each instance is linked by a fixed number of entries, its own availability
zone first, ranked by rendezvous hashing. So every instance is reached, and
one entry that comes or goes moves only its own links.
"""

from collections.abc import Iterable

from ..helpers.rendezvous import rank_names
from ..live.models import EntryRecord
from ..ports.instances import Instance
from .const import ENTRIES_PER_INSTANCE
from .const import SMALL_UPSTREAM


def rank_entries(
    instance: Instance, entries: Iterable[EntryRecord]
) -> list[str]:
    """Return the entries that link to an instance, best first."""
    by_zone: dict[bool, list[str]] = {True: [], False: []}
    for entry in entries:
        by_zone[entry.zone == instance.zone].append(entry.name)
    near = rank_names(instance.name, by_zone[True])
    far = rank_names(instance.name, by_zone[False])
    keep = ENTRIES_PER_INSTANCE - 1
    return [*near[:keep], *far, *near[keep:]][:ENTRIES_PER_INSTANCE]


def choose_subset(
    entry: EntryRecord,
    entries: Iterable[EntryRecord],
    instances: Iterable[Instance],
) -> list[Instance]:
    """Return the instances that an entry links to."""
    known = {record.name: record for record in entries}
    known[entry.name] = entry
    by_upstream: dict[str, list[Instance]] = {}
    for instance in instances:
        by_upstream.setdefault(instance.upstream, []).append(instance)
    chosen: list[Instance] = []
    for members in by_upstream.values():
        if len(members) <= SMALL_UPSTREAM:
            chosen.extend(members)
            continue
        chosen.extend(
            instance
            for instance in members
            if entry.name in rank_entries(instance, known.values())
        )
    return chosen
