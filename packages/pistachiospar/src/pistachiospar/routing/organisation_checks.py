"""Checks of the organisations of a configuration and of their keys."""

from collections.abc import Iterator

from . import const
from ..organisations.const import MAX_KEY_CHARACTERS
from ..organisations.models import OrganisationTable
from .check_models import ConfigFinding
from .check_models import OrganisationDraft
from .check_models import Place
from .check_models import Severity


def check_organisation_table(
    organisations: OrganisationTable,
) -> Iterator[ConfigFinding]:
    """Find organisations without a key of their own."""
    held = {o.name for o in organisations.by_digest.values()}
    for index, name in enumerate(organisations.by_name):
        if name not in held:
            yield ConfigFinding(
                Severity.WARNING,
                "no-key",
                f"organisation {name!r}",
                ("organisations", index),
                "it has no key, or only such that others have, too",
            )


def check_organisations(
    organisations: tuple[OrganisationDraft, ...],
) -> Iterator[ConfigFinding]:
    """Check the organisations' names, priorities and keys."""
    names: set[str] = set()
    holders: dict[str, str] = {}
    for index, organisation in enumerate(organisations):

        def find(
            severity: Severity, code: str, place: Place, message: str
        ) -> ConfigFinding:
            return ConfigFinding(
                severity,
                code,
                f"organisation {organisation.name!r}",
                ("organisations", index, *place),
                message,
            )

        if not const.ORGANISATION_NAME_PATTERN.fullmatch(organisation.name):
            message = (
                "the name isn't 1 to 256 printable ASCII characters without "
                "spaces at the ends"
            )
            yield find(Severity.ERROR, "organisation-name", ("name",), message)
        elif organisation.name in names:
            message = "entries of the same name are one organisation"
            yield find(
                Severity.WARNING, "duplicate-organisation", ("name",), message
            )
        names.add(organisation.name)
        if organisation.priority is not None and organisation.priority < 0:
            message = "the priority is below 0, the most urgent one"
            yield find(Severity.WARNING, "negative", ("priority",), message)
        if not organisation.keys:
            message = "without a key it can't make calls"
            yield find(Severity.WARNING, "no-key", ("keys",), message)
        own: set[str] = set()
        for number, key in enumerate(organisation.keys):
            label = f"key {key.digest[: const.SHOWN_DIGEST_DIGITS]}"
            place: Place = ("keys", number)
            if not key.length:
                message = "an empty key is ignored"
                yield find(Severity.WARNING, "unusable-key", place, message)
                continue
            if key.length > MAX_KEY_CHARACTERS:
                message = f"{label} is never accepted: {key.length} characters"
                yield find(Severity.WARNING, "unusable-key", place, message)
            elif not key.is_visible_ascii:
                message = f"{label} can't be sent in a header"
                yield find(Severity.WARNING, "unusable-key", place, message)
            holder = holders.setdefault(key.digest, organisation.name)
            if holder != organisation.name:
                message = (
                    f"{label} is held by organisation {holder!r}, too: "
                    "it belongs to none"
                )
                yield find(Severity.ERROR, "shared-key", place, message)
            elif key.digest in own:
                message = f"{label} is listed twice"
                yield find(Severity.WARNING, "repeated-key", place, message)
            own.add(key.digest)
