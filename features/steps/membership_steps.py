"""Steps on subsets and the data folder."""

from behave import given
from behave.runner import Context
from behave import then
from behave import when
from support.membership_cases import keep_bundle
from support.membership_cases import link_all
from support.membership_cases import lose
from support.membership_cases import make_entries
from support.membership_cases import make_instances

ENTRIES_EACH = 4


@given("{entries:d} entries before {instances:d} samplers in 7 zones")
def make_fleet(context: Context, entries: int, instances: int) -> None:
    """Link a fleet."""
    context.entries = make_entries(entries)
    context.instances = make_instances(instances)
    context.links = link_all(context.entries, context.instances)


@when("{what} is lost")
def lose_some(context: Context, what: str) -> None:
    """Lose a part of the fleet."""
    entries, instances = lose(what, context.entries, context.instances)
    context.before = context.links
    context.left = {i.name for i in instances}
    context.alive = {e.name for e in entries}
    context.links = link_all(entries, instances)


@then("each sampler has 4 entries and no entry over {factor:g} times the mean")
def check_spread(context: Context, factor: float) -> None:
    """Check the spread of links."""
    by_instance = context.links.count_by_instance()
    assert set(by_instance.values()) == {ENTRIES_EACH}, by_instance
    by_entry = context.links.count_by_entry()
    mean = len(context.links.pairs) / len(by_entry)
    assert max(by_entry.values()) <= factor * mean, max(by_entry.values())


@then("only the links of what is lost move")
def check_moves(context: Context) -> None:
    """Check that every link between survivors stays."""
    kept = {
        (entry, instance)
        for entry, instance in context.before.pairs
        if entry in context.alive and instance in context.left
    }
    moved = kept - context.links.pairs
    assert not moved, f"{len(moved)} of {len(kept)} moved: {list(moved)[:3]}"


@when("a bundle is kept and the folder has {damage}")
def damage_folder(context: Context, damage: str) -> None:
    """Save, damage, load."""
    context.version = keep_bundle(damage)


@then("a new process begins with version {version:d}")
def check_version(context: Context, version: int) -> None:
    """Check the version that was loaded."""
    assert context.version == version, context.version
