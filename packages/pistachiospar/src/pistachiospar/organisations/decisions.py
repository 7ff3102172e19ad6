"""Which organisation a call belongs to, and what that changes."""

from dataclasses import replace

from result import Err

from ..adapters.http.models import Headers
from ..routing.models import Route
from ..routing.models import RouteTable
from ..submissions.models import Submission
from .keys import compute_digest
from .keys import read_key
from .models import ConfigurationAge
from .models import KeyFault
from .models import KeyRefusal
from .models import KeyRules
from .models import Organisation


def authenticate(
    table: RouteTable,
    route: Route | None,
    raw_headers: Headers,
    age: ConfigurationAge,
    rules: KeyRules,
) -> Organisation | None | KeyRefusal:
    """Return the organisation of a call's key, None where none is needed.

    `route` is None for calls on submissions, which always need a key.
    `age` is that of the configuration.
    """
    organisations = table.organisations
    if organisations is None or (route is not None and route.public):
        return None
    key = read_key(raw_headers)
    if isinstance(key, Err):
        return key.err_value
    limit_s = rules.revoke_after_s
    if limit_s is not None and age.proven_s > limit_s:
        detail = f"not confirmed for more than {limit_s:.1f} s"
        return KeyRefusal(KeyFault.UNCONFIRMED, detail)
    # The lookup compares digests, so its duration tells nothing of the key.
    organisation = organisations.by_digest.get(compute_digest(key.ok_value))
    if organisation is not None:
        return organisation
    if age.contact_s > rules.confirm_within_s:
        detail = f"unknown key; not confirmed for {age.contact_s:.1f} s"
        return KeyRefusal(KeyFault.UNCONFIRMED, detail)
    version = f"configuration version {table.version}"
    return KeyRefusal(KeyFault.UNKNOWN, f"no organisation's in {version}")


def name_organisation(
    table: RouteTable, organisation: Organisation | None
) -> str | None:
    """Return the name that calls carry: "" if public, None without any."""
    if table.organisations is None:
        return None
    return organisation.name if organisation is not None else ""


def find_organisation(table: RouteTable, name: str) -> Organisation | None:
    """Return an organisation of the configuration in force."""
    if table.organisations is None:
        return None
    return table.organisations.by_name.get(name)


def apply_priority(route: Route, organisation: Organisation | None) -> Route:
    """Return a route with the priority of an organisation, if it has one."""
    if organisation is None or organisation.priority is None:
        return route
    return replace(route, priority=organisation.priority)


def find_owners_route(
    table: RouteTable, submission: Submission, path: str
) -> Route | None:
    """Return a path's route, with the priority of a submission's owner."""
    route = table.find_route(submission.host, path)
    if route is None:
        return None
    owner = find_organisation(table, submission.organisation)
    return apply_priority(route, owner)


def may_access(owner: str, organisation: str | None) -> bool:
    """Return whether an organisation may access an owner's submission.

    One without owner is open to all, and all are while there are no
    organisations.
    """
    return organisation is None or owner in ("", organisation)
