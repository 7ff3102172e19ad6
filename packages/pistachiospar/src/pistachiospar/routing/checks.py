"""Checks of a configuration: what never matches and what contradicts.

The gateway runs them too when a configuration comes into force, so this
module imports nothing but the data classes.
"""

from collections.abc import Iterator
from collections.abc import Mapping

from . import const
from .check_models import ConfigDraft
from .check_models import ConfigFinding
from .check_models import Place
from .check_models import RouteDraft
from .check_models import Severity
from .check_models import UpstreamDraft
from .models import CallerLimits
from .models import CallKind
from .models import Route
from .models import RouteTable
from .organisation_checks import check_organisation_table
from .organisation_checks import check_organisations

ERROR = Severity.ERROR
WARNING = Severity.WARNING


def make_draft(table: RouteTable) -> ConfigDraft:
    """Return the draft of a table in force."""
    return ConfigDraft(
        table.version,
        tuple(RouteDraft(r, r.max_attempts) for r in table.routes),
        tuple(UpstreamDraft(u) for u in table.upstreams.values()),
        table.limits,
    )


def check_table(table: RouteTable) -> list[ConfigFinding]:
    """Return the findings in a table in force, which has no keys."""
    findings = check_draft(make_draft(table))
    if table.organisations is not None:
        findings.extend(check_organisation_table(table.organisations))
    return findings


def check_draft(draft: ConfigDraft) -> list[ConfigFinding]:
    """Return all findings in a configuration."""
    findings: list[ConfigFinding] = []
    if draft.version < 1:
        message = "a version below 1 never comes into force"
        findings.append(_find_version_fault(message))
    findings.extend(_check_route_names(draft))
    upstreams = {u.config.name for u in draft.upstreams}
    for index, written in enumerate(draft.routes):
        findings.extend(_check_route(index, written))
        findings.extend(_check_shares(index, written, upstreams))
    findings.extend(_check_upstreams(draft))
    if draft.limits is not None:
        findings.extend(_check_limits(draft.limits))
    if draft.organisations is not None:
        findings.extend(check_organisations(draft.organisations))
    return findings


def check_slots(
    draft: ConfigDraft, slots_by_upstream: Mapping[str, int]
) -> list[ConfigFinding]:
    """Compare connections with the slots of an upstream's instances.

    `slots_by_upstream` has the slots of its largest instance.
    """
    findings = []
    for index, upstream in enumerate(draft.upstreams):
        slots = slots_by_upstream.get(upstream.config.name, 0)
        limit = upstream.config.max_connections
        if 0 < limit < slots:
            findings.append(
                ConfigFinding(
                    WARNING,
                    "connections-below-slots",
                    f"upstream {upstream.config.name!r}",
                    ("upstreams", index, "max_connections"),
                    f"{limit} connections can't fill the {slots} slots "
                    "of an instance",
                )
            )
    return findings


def find_version_conflict(
    draft: ConfigDraft, in_force: ConfigDraft
) -> ConfigFinding | None:
    """Return an error if gateways would ignore a changed configuration."""
    if draft == in_force or draft.version > in_force.version:
        return None
    return _find_version_fault(
        f"version {draft.version} isn't above version {in_force.version}, "
        "which is in force: gateways ignore it"
    )


def _find_version_fault(message: str) -> ConfigFinding:
    """Return an error about the version."""
    return ConfigFinding(
        ERROR, "version", "configuration", ("version",), message
    )


def _check_route_names(draft: ConfigDraft) -> Iterator[ConfigFinding]:
    """Find routes that another one hides, and names that are used twice."""
    first_by_match: dict[tuple[str, str], str] = {}
    names: set[str] = set()
    for index, written in enumerate(draft.routes):
        route = written.route
        match = (route.host, route.prefix)
        if match in first_by_match:
            yield _find_in_route(
                WARNING,
                "shadowed-route",
                index,
                route,
                ("prefix",),
                f"never matches: route {first_by_match[match]!r} before it "
                "has the same host and prefix",
            )
        else:
            first_by_match[match] = route.name
        if route.name in names:
            message = "another route has this name"
            yield _find_in_route(
                WARNING, "duplicate-route", index, route, ("name",), message
            )
        names.add(route.name)


def _find_in_route(
    severity: Severity,
    code: str,
    index: int,
    route: Route,
    place: Place,
    message: str,
) -> ConfigFinding:
    """Return a finding about a route; `place` is within the route."""
    subject = f"route {route.name!r}"
    return ConfigFinding(
        severity, code, subject, ("routes", index, *place), message
    )


def _check_route(index: int, written: RouteDraft) -> Iterator[ConfigFinding]:
    """Check the limits of one route against each other."""
    route = written.route

    def find(
        severity: Severity, code: str, field: str, message: str
    ) -> ConfigFinding:
        return _find_in_route(severity, code, index, route, (field,), message)

    if not route.host:
        message = "never matches: no call has an empty host"
        yield find(WARNING, "never-matches", "host", message)
    if route.prefix and not route.prefix.startswith("/"):
        message = "never matches: a path begins with '/'"
        yield find(WARNING, "never-matches", "prefix", message)
    if written.unknown_kind:
        message = f"kind {written.unknown_kind!r} isn't known: taken as unsafe"
        yield find(WARNING, "unknown-kind", "kind", message)
    if route.timeout_s <= 0:
        message = "the timeout leaves a call no time"
        yield find(ERROR, "no-time", "timeout_s", message)
    elif route.target_latency_s > route.timeout_s:
        yield find(
            WARNING,
            "latency-above-timeout",
            "target_latency_s",
            f"the target latency of {route.target_latency_s:g} s is above "
            f"the timeout of {route.timeout_s:g} s",
        )
    if route.target_latency_s < 0:
        message = "the target latency is below 0"
        yield find(ERROR, "negative", "target_latency_s", message)
    if route.priority < 0:
        message = "the priority is below 0, the most urgent one"
        yield find(WARNING, "negative", "priority", message)
    yield from _check_attempts(index, written)
    yield from _check_ages(index, route)


def _check_attempts(
    index: int, written: RouteDraft
) -> Iterator[ConfigFinding]:
    """Check that a route has attempts, and time for each of them."""
    route, attempts = written.route, written.max_attempts
    place = ("max_attempts",)
    if attempts < 1:
        message = f"{attempts} attempts: gateways make one all the same"
        yield _find_in_route(
            ERROR, "no-attempts", index, route, place, message
        )
        return
    # Items of a rollout are bounded by their age instead of the timeout.
    if route.kind is CallKind.ROLLOUT or not route.is_repeatable:
        return
    has_time_for_one = 0 < route.target_latency_s <= route.timeout_s
    # Divided, since an integer may be too large to multiply with a float.
    if (
        attempts > 1
        and has_time_for_one
        and (
            attempts
            > const.ROUNDING * route.timeout_s / route.target_latency_s
        )
    ):
        yield _find_in_route(
            WARNING,
            "attempts-beyond-timeout",
            index,
            route,
            place,
            f"{attempts} attempts of {route.target_latency_s:g} s (the "
            f"target latency) don't fit in the timeout of "
            f"{route.timeout_s:g} s",
        )


def _check_ages(index: int, route: Route) -> Iterator[ConfigFinding]:
    """Check when results are due against how old they may become."""
    for field in ("result_due_s", "max_age_s"):
        if getattr(route, field) < 0:
            message = "a time below 0"
            yield _find_in_route(
                ERROR, "negative", index, route, (field,), message
            )
    if route.kind is CallKind.ROLLOUT and route.max_age_s == 0:
        message = "no maximum age: submissions end when they arrive"
        yield _find_in_route(
            WARNING, "no-time", index, route, ("max_age_s",), message
        )
    elif 0 <= route.max_age_s < route.result_due_s:
        yield _find_in_route(
            WARNING,
            "due-above-age",
            index,
            route,
            ("result_due_s",),
            f"results are due after {route.result_due_s:g} s, above the "
            f"maximum age of {route.max_age_s:g} s",
        )


def _check_shares(
    index: int, written: RouteDraft, upstreams: set[str]
) -> Iterator[ConfigFinding]:
    """Check a route's upstreams and their weights."""
    route, shares = written.route, written.route.shares

    def find(
        severity: Severity, code: str, place: Place, message: str
    ) -> ConfigFinding:
        return _find_in_route(severity, code, index, route, place, message)

    if written.ignored_upstream:
        message = (
            f"upstream {written.ignored_upstream!r} gets no calls: the "
            "shares replace it"
        )
        yield find(WARNING, "never-matches", ("upstream",), message)
    # The weight of a single share doesn't matter.
    is_split = len(shares) > 1
    seen: set[str] = set()
    for number, share in enumerate(shares):
        place: Place = ("shares", number, "upstream")
        weight_place: Place = ("shares", number, "weight")
        if not share.upstream:
            message = "the route names no upstream"
            yield find(ERROR, "unknown-upstream", place, message)
        elif share.upstream not in upstreams:
            message = f"no upstream is named {share.upstream!r}"
            yield find(ERROR, "unknown-upstream", place, message)
        if share.upstream in seen:
            message = f"upstream {share.upstream!r} has a share before this"
            yield find(WARNING, "duplicate-share", place, message)
        seen.add(share.upstream)
        if share.weight < 0:
            message = "the weight is below 0"
            yield find(ERROR, "negative", weight_place, message)
        elif is_split and share.weight == 0:
            message = f"upstream {share.upstream!r} gets no calls: weight 0"
            yield find(WARNING, "zero-share", weight_place, message)
    total = sum(share.weight for share in shares)
    if is_split and not 0 < total < float("inf"):
        message = f"the weights add up to {total:g}"
        yield find(ERROR, "weights-sum", ("shares",), message)


def _check_upstreams(draft: ConfigDraft) -> Iterator[ConfigFinding]:
    """Check each upstream, and whether a route names it."""
    named = {s.upstream for r in draft.routes for s in r.route.shares}
    seen: set[str] = set()
    for index, upstream in enumerate(draft.upstreams):
        name = upstream.config.name

        def find(
            severity: Severity, code: str, place: Place, message: str
        ) -> ConfigFinding:
            return ConfigFinding(
                severity,
                code,
                f"upstream {name!r}",
                ("upstreams", index, *place),
                message,
            )

        if name in seen:
            message = "another upstream has this name; the last one counts"
            yield find(ERROR, "duplicate-upstream", ("name",), message)
        elif name not in named:
            message = "no route names this upstream"
            yield find(WARNING, "unused-upstream", ("name",), message)
        seen.add(name)
        if upstream.config.max_connections < 1:
            message = "no connections: the upstream can't be reached"
            yield find(ERROR, "no-connections", ("max_connections",), message)
        for place, message in _list_range_faults(upstream):
            yield find(ERROR, "instance-range", place, message)


def _list_range_faults(upstream: UpstreamDraft) -> Iterator[tuple[Place, str]]:
    """Return the places and faults of an upstream's instance numbers."""
    bounds = upstream.instances
    if bounds is None:
        return
    if bounds.minimum > bounds.maximum:
        yield (
            ("instances", "minimum"),
            f"the minimum of {bounds.minimum} is above the maximum of "
            f"{bounds.maximum}",
        )
    if bounds.minimum < 0:
        yield ("instances", "minimum"), "the minimum is below 0"
    if bounds.boot_s < 0:
        yield ("instances", "boot_s"), "the time to boot is below 0"


def _check_limits(limits: CallerLimits) -> Iterator[ConfigFinding]:
    """Check the limits on callers."""

    def find(
        severity: Severity, code: str, field: str, message: str
    ) -> ConfigFinding:
        return ConfigFinding(
            severity, code, "limits", ("limits", field), message
        )

    for field in const.CALLER_LIMIT_FIELDS:
        if getattr(limits, field) <= 0:
            message = "no request fits in a limit of 0 or below"
            yield find(ERROR, "no-room", field, message)
    if 0 < limits.idle_timeout_s < limits.read_timeout_s:
        yield find(
            WARNING,
            "idle-below-header",
            "idle_timeout_s",
            f"the idle timeout of {limits.idle_timeout_s:g} s is below the "
            f"header timeout of {limits.read_timeout_s:g} s",
        )
