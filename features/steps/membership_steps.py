"""Step definitions for subsetting and the data folder."""

from behave import given
from behave.runner import Context
from behave import then
from behave import when
from support.membership_cases import link_all
from support.membership_cases import make_entries
from support.membership_cases import make_instances
from support.membership_cases import reload_damaged_bundle
from support.membership_cases import remove_part

ENTRIES_PER_INSTANCE = 4


@given("{entries:d} entries and {instances:d} samplers in 7 zones")
def link_fleet(context: Context, entries: int, instances: int) -> None:
    """Link all entries to their subsets of the instances."""
    context.entries = make_entries(entries)
    context.instances = make_instances(instances)
    context.links = link_all(context.entries, context.instances)


@when("{part} is lost")
def lose_part(context: Context, part: str) -> None:
    """Remove a part of the fleet and link the rest again."""
    entries, instances = remove_part(part, context.entries, context.instances)
    context.before = context.links
    context.remaining_instances = {i.name for i in instances}
    context.remaining_entries = {e.name for e in entries}
    context.links = link_all(entries, instances)


@then(
    "each sampler has 4 entries and no entry has over "
    "{factor:g} times the mean"
)
def check_spread(context: Context, factor: float) -> None:
    """Check the links of each instance and of each entry."""
    by_instance = context.links.count_by_instance()
    assert set(by_instance.values()) == {ENTRIES_PER_INSTANCE}, by_instance
    by_entry = context.links.count_by_entry()
    mean = len(context.links.pairs) / len(by_entry)
    assert max(by_entry.values()) <= factor * mean, max(by_entry.values())


@then("only the links of the lost part move")
def check_moves(context: Context) -> None:
    """Check that every link between remaining processes stays."""
    kept = {
        (entry, instance)
        for entry, instance in context.before.pairs
        if entry in context.remaining_entries
        and instance in context.remaining_instances
    }
    moved = kept - context.links.pairs
    assert not moved, f"{len(moved)} of {len(kept)} moved: {list(moved)[:3]}"


@when("a bundle is saved and the folder then has {damage}")
def damage_folder(context: Context, damage: str) -> None:
    """Save a bundle, damage its folder and load it."""
    context.version = reload_damaged_bundle(damage)


@then("a new process starts with version {version:d}")
def check_version(context: Context, version: int) -> None:
    """Check the loaded version, 0 for none."""
    assert context.version == version, context.version
