"""What differs between two configurations, and what follows from it."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import fields
from typing import Final
from typing import TypeVar

from . import const
from .check_models import ConfigDraft
from .check_models import OrganisationDraft
from .check_models import RouteDraft
from .check_models import UpstreamDraft
from .models import CallKind
from .models import Route

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class Difference:
    """One change against the configuration in force.

    `change` is added, removed or changed. `effect` says what it means for
    requests under way; `lasting` what can't be taken back, if anything.
    """

    change: str
    subject: str
    detail: str
    effect: str
    lasting: str = ""


KEEPS: Final = "calls under way keep the former value"
LATER_ITEMS: Final = (
    "calls under way keep the former value; submissions use the new one for "
    "the items that start next"
)
ROUTE_EFFECTS: Final = {
    "host": "calls to the former host get 404 or another route",
    "prefix": "calls to the former prefix get 404 or another route",
    "kind": "decides whether attempts that start from now on are repeated",
    "shares": "new calls are spread anew; calls under way stay where they "
    "run; open submissions move if no share leads to their pool any more",
    "public": "decides whether new calls need a key; calls under way go on",
    "priority": LATER_ITEMS,
    "max_attempts": LATER_ITEMS,
    "single_version": LATER_ITEMS,
    "result_due_s": "submissions under way keep the former value until "
    "another gateway takes their pool over",
    "max_age_s": "submissions under way keep the former value until "
    "another gateway takes their pool over",
}
UPSTREAM_REMOVED: Final = (
    "routes that name it still reach its instances; without the entry its "
    "models aren't served; their submissions move with their route or wait"
)
ORGANISATION_REMOVED: Final = (
    "calls with its keys get 401; what runs goes on, its submissions, too"
)
RESULTS_LOST: Final = (
    "nobody can read the results of its submissions until it is back, and "
    "they are kept for a limited time"
)
RAN_TWICE: Final = "a call that fails may run twice; that isn't undone"
UNCOUNTED: Final = (
    "calls without a key run for no organisation; they can't be assigned "
    "to one later"
)
BILLED: Final = "instances that start are billed from their start on"


def compare_drafts(old: ConfigDraft, new: ConfigDraft) -> list[Difference]:
    """Return the differences, grouped by what they are about."""
    found: list[Difference] = []
    if old.version != new.version:
        found.append(
            Difference(
                "changed",
                "version",
                f"{old.version} -> {new.version}",
                "in force at all gateways within seconds",
                "a lower version never comes into force again: to go back, "
                "send the former content with a higher version",
            )
        )
    found.extend(_compare_routes(old.routes, new.routes))
    found.extend(_compare_upstreams(old.upstreams, new.upstreams))
    found.extend(_compare_organisations(old.organisations, new.organisations))
    if old.limits != new.limits:
        detail = _describe_changes(old.limits, new.limits)
        effect = "applies to what connections read next"
        found.append(Difference("changed", "limits", detail, effect))
    return found


def _pair(
    old: Iterable[tuple[str, Item]], new: Iterable[tuple[str, Item]]
) -> Iterator[tuple[str, Item | None, Item | None]]:
    """Pair items of the same name, those of the new configuration first.

    Of items that share a name, the last one counts.
    """
    by_name, new_by_name = dict(old), dict(new)
    for name, item in new_by_name.items():
        yield name, by_name.get(name), item
    for name, item in by_name.items():
        if name not in new_by_name:
            yield name, item, None


def _describe_changes(old: object, new: object) -> str:
    """Return the changed fields of two data classes of one type."""
    if old is None or new is None or type(old) is not type(new):
        return f"{old} -> {new}"
    return ", ".join(
        f"{name} {_format(getattr(old, name))} -> "
        f"{_format(getattr(new, name))}"
        for name in _list_changed(old, new)
    )


def _list_changed(old: object, new: object) -> list[str]:
    """Return the names of the fields that differ."""
    return [
        field.name
        for field in fields(old)  # type: ignore[arg-type]
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def _format(value: object) -> str:
    """Return a field's value as text."""
    if isinstance(value, CallKind):
        return value.value
    if isinstance(value, tuple):
        return "[" + ", ".join(_format(item) for item in value) + "]"
    upstream = getattr(value, "upstream", None)
    if upstream is not None:
        return f"{upstream} {getattr(value, 'weight', 1):g}"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _compare_routes(
    old: Sequence[RouteDraft], new: Sequence[RouteDraft]
) -> Iterator[Difference]:
    """Compare routes by name."""
    pairs = _pair(
        ((r.route.name, r) for r in old), ((r.route.name, r) for r in new)
    )
    for name, before, after in pairs:
        subject = f"route {name!r}"
        if before is None and after is not None:
            route = after.route
            yield Difference(
                "added",
                subject,
                f"{route.host}{route.prefix}",
                "takes new calls and items that match; calls under way stay "
                "on their route",
            )
        elif after is None and before is not None:
            yield _describe_removed_route(subject, before.route)
        elif before is not None and after is not None and before != after:
            yield from _compare_route(subject, before, after)


def _describe_removed_route(subject: str, route: Route) -> Difference:
    """Return the difference for a removed route."""
    effect = "new calls get 404 or a route with a shorter prefix"
    lasting = ""
    if route.kind is CallKind.ROLLOUT:
        effect += "; items of submissions under way don't start without it"
        lasting = "items that pass their maximum age meanwhile are lost"
    else:
        effect += "; calls under way end as they began"
    detail = f"{route.host}{route.prefix}"
    return Difference("removed", subject, detail, effect, lasting)


def _compare_route(
    subject: str, before: RouteDraft, after: RouteDraft
) -> Iterator[Difference]:
    """Return one difference for each changed field of a route."""
    old, new = before.route, after.route
    for name in _list_changed(old, new):
        becomes_repeatable = new.is_repeatable and not old.is_repeatable
        detail = (
            f"{name} {_format(getattr(old, name))} -> "
            f"{_format(getattr(new, name))}"
        )
        lasting = ""
        if name == "public" and new.public:
            lasting = UNCOUNTED
        elif name in ("kind", "resumable", "stream") and becomes_repeatable:
            lasting = RAN_TWICE
        effect = ROUTE_EFFECTS.get(name, KEEPS)
        yield Difference("changed", subject, detail, effect, lasting)


def _compare_upstreams(
    old: Sequence[UpstreamDraft], new: Sequence[UpstreamDraft]
) -> Iterator[Difference]:
    """Compare upstreams by name."""
    pairs = _pair(
        ((u.config.name, u) for u in old), ((u.config.name, u) for u in new)
    )
    for name, before, after in pairs:
        subject = f"upstream {name!r}"
        if before is None and after is not None:
            detail = f"max_connections {after.config.max_connections}"
            effect = "used once a route names it and instances are listed"
            yield Difference("added", subject, detail, effect)
        elif after is None and before is not None:
            detail = f"max_connections {before.config.max_connections}"
            yield Difference("removed", subject, detail, UPSTREAM_REMOVED)
        elif before is not None and after is not None:
            yield from _compare_upstream(subject, before, after)


def _compare_upstream(
    subject: str, before: UpstreamDraft, after: UpstreamDraft
) -> Iterator[Difference]:
    """Compare an upstream's limits, models and numbers of instances."""
    if before.config != after.config:
        detail = _describe_changes(before.config, after.config)
        effect = "calls under way go on"
        if before.config.models != after.config.models:
            effect += "; submissions of a model that is gone move with their "
            effect += "route or wait for it"
        yield Difference("changed", subject, detail, effect)
    if before.instances != after.instances:
        old, new = before.instances, after.instances
        is_raised = new is not None and new.minimum > (
            old.minimum if old else 0
        )
        yield Difference(
            "changed",
            subject,
            f"instances: {_describe_changes(old, new)}",
            "instances above the number drain: what runs there ends first",
            BILLED if is_raised else "",
        )


def _compare_organisations(
    old: Sequence[OrganisationDraft] | None,
    new: Sequence[OrganisationDraft] | None,
) -> Iterator[Difference]:
    """Compare organisations by name, and their keys by digest."""
    if old is None and new:
        yield Difference(
            "changed",
            "organisations",
            "the first ones",
            "new calls without a key get 401, but for public routes; calls "
            "under way go on",
        )
    if old and not new:
        yield Difference(
            "changed",
            "organisations",
            "none is left",
            "new calls need no key and belong to no organisation",
            UNCOUNTED,
        )
    pairs = _pair(
        ((o.name, o) for o in old or ()), ((o.name, o) for o in new or ())
    )
    for name, before, after in pairs:
        subject = f"organisation {name!r}"
        if before is None and after is not None:
            detail = f"{len(after.keys)} keys, priority {after.priority}"
            effect = "its keys are accepted once a gateway has this version"
            yield Difference("added", subject, detail, effect)
        elif after is None and before is not None:
            detail = f"{len(before.keys)} keys, priority {before.priority}"
            yield Difference(
                "removed", subject, detail, ORGANISATION_REMOVED, RESULTS_LOST
            )
        elif before is not None and after is not None:
            if before.priority != after.priority:
                detail = f"priority {before.priority} -> {after.priority}"
                yield Difference("changed", subject, detail, LATER_ITEMS)
    yield from _compare_keys(old or (), new or ())


def _compare_keys(
    old: Sequence[OrganisationDraft], new: Sequence[OrganisationDraft]
) -> Iterator[Difference]:
    """Compare the keys of all organisations, by digest."""
    pairs = _pair(
        ((k.digest, o.name) for o in old for k in o.keys),
        ((k.digest, o.name) for o in new for k in o.keys),
    )
    for digest, before, after in pairs:
        subject = f"key {digest[: const.SHOWN_DIGEST_DIGITS]}"
        if before is None:
            effect = "accepted once a gateway has this version; 503 before, "
            effect += "at one that may lack it"
            yield Difference("added", subject, f"of {after!r}", effect)
        elif after is None:
            effect = "new calls with it get 401; what runs or waits goes on"
            yield Difference("removed", subject, f"of {before!r}", effect)
        elif before != after:
            yield Difference(
                "changed",
                subject,
                f"of {before!r} -> of {after!r}",
                "calls under way stay with the former organisation",
                "its submissions and streams stay with the former one, where "
                "this key no longer reaches them",
            )
