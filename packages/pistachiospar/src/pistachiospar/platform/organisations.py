"""Organisations in the operator's configuration, which it calls tenants.

Pattern: a configuration may have 20,000 keys, and most of its changes don't
concern them. What was computed for the last list is used again for an equal
one.
"""

from functools import lru_cache
from hashlib import sha256
from typing import Any
from typing import Final

import msgspec

from ..organisations.const import DIGEST_CHARACTERS
from ..organisations.keys import compute_digest
from ..organisations.models import Organisation
from ..organisations.models import OrganisationTable

_KEYS: Final = "apiKeys"
_DIGESTS: Final = "keyDigests"
_TENANTS: Final = "tenants"
_ERROR_PREFIX: Final = b'{"unreadable":'
MAX_NAME_CHARACTERS: Final = 256


class TenantMessage(msgspec.Struct):
    """An organisation; priority 0 is the most urgent.

    The operator writes `apiKeys`; `keyDigests` replace them where the
    configuration is received.
    """

    name: str
    keyDigests: list[str] = []
    priority: int | None = None


class ErrorMessage(msgspec.Struct):
    """What replaces an unreadable configuration."""

    unreadable: str


class KeyConcealer:
    """Replaces keys by digests; remembers the last list, but not its keys."""

    def __init__(self) -> None:
        """Start without a last list."""
        self._last_digest = b""
        self._last_concealed = b""

    def conceal(self, value: bytes) -> bytes:
        """Return a configuration with digests in place of its keys.

        Nothing else changes, also what this version doesn't know. An
        unreadable configuration is replaced by the error, since it may hold
        keys anywhere.
        """
        if _KEYS.encode() not in value and b"\\u" not in value:
            return value
        try:
            fields = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
            if _TENANTS not in fields:
                return value
            concealed = self._conceal_list(bytes(fields[_TENANTS]))
        except (msgspec.MsgspecError, RecursionError) as error:
            return msgspec.json.encode(ErrorMessage(str(error)))
        fields[_TENANTS] = msgspec.Raw(concealed)
        return msgspec.json.encode(fields)

    def _conceal_list(self, encoded: bytes) -> bytes:
        """Replace the keys of all organisations; raises MsgspecError."""
        digest = sha256(encoded).digest()
        if digest != self._last_digest:
            tenants = msgspec.json.decode(
                encoded, type=list[dict[str, Any]] | None
            )
            for tenant in tenants or []:
                _conceal_tenant(tenant)
            self._last_concealed = msgspec.json.encode(tenants)
            self._last_digest = digest
        return self._last_concealed


conceal_keys = KeyConcealer().conceal


def find_concealed_error(value: bytes) -> str | None:
    """Return why a configuration could not be read when it was concealed."""
    if not value.startswith(_ERROR_PREFIX):
        return None
    return msgspec.json.decode(value, type=ErrorMessage).unreadable


@lru_cache(maxsize=1)
def read_organisations(encoded: bytes) -> OrganisationTable | None:
    """Read a concealed list of organisations; None without a list.

    With an empty one no key is known: removing the last organisation must
    not open the deployment to calls without a key.

    Raises MsgspecError, and ValueError for an invalid name or digest.
    Entries of the same name are one organisation.
    """
    tenants = msgspec.json.decode(encoded, type=list[TenantMessage] | None)
    by_name: dict[str, Organisation] = {}
    by_digest: dict[str, Organisation] = {}
    ambiguous: set[str] = set()
    if tenants is None:
        return None
    for number, tenant in enumerate(tenants):
        name = tenant.name
        if not _is_header_text(name):
            raise ValueError(
                f"$.tenants[{number}].name: not 1 to {MAX_NAME_CHARACTERS} "
                "printable ASCII characters without spaces at the ends"
            )
        organisation = by_name.get(name)
        if organisation is None:
            organisation = Organisation(name, tenant.priority)
            by_name[name] = organisation
        for digest in tenant.keyDigests:
            if len(digest) != DIGEST_CHARACTERS:
                raise ValueError(
                    f"$.tenants[{number}].keyDigests: not SHA-256 in base64"
                )
            if by_digest.setdefault(digest, organisation) != organisation:
                ambiguous.add(digest)
    for digest in ambiguous:
        del by_digest[digest]
    return OrganisationTable(by_name, by_digest)


def _conceal_tenant(tenant: dict[str, Any]) -> None:
    """Replace the keys of one organisation; raises ValidationError.

    No call has an empty key.
    """
    keys = tenant.pop(_KEYS, None)
    if keys is None:
        return
    known = tenant.get(_DIGESTS, [])
    if not isinstance(keys, list) or not isinstance(known, list):
        raise msgspec.ValidationError(f"$.tenants[].{_KEYS}: not a list")
    if not all(isinstance(key, str) for key in keys):
        raise msgspec.ValidationError(f"$.tenants[].{_KEYS}: not all text")
    tenant[_DIGESTS] = [
        *known,
        *[compute_digest(key.encode()) for key in keys if key],
    ]


def _is_header_text(name: str) -> bool:
    """Return whether a name can be sent as a header's value."""
    return (
        0 < len(name) <= MAX_NAME_CHARACTERS
        and name.isascii()
        and name.isprintable()
        and name[0] != " "
        and name[-1] != " "
    )
