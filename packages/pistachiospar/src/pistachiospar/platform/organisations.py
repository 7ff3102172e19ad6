"""Organisations in the operator's configuration, which it calls tenants."""

from base64 import b64decode
from base64 import b64encode
import binascii
import re
from typing import Final

import msgspec

from ..organisations.const import DIGEST_BYTES
from ..organisations.keys import compute_digest
from ..organisations.models import Organisation
from ..organisations.models import OrganisationTable

_KEYS: Final = "apiKeys"
_DIGESTS: Final = "keyDigests"
_TENANTS: Final = "tenants"
# A name is sent in a header.
_NAME_PATTERN: Final = re.compile(r"[!-~]([ -~]{0,254}[!-~])?")


class TenantMessage(msgspec.Struct):
    """An organisation; priority 0 is the most urgent.

    The operator writes `apiKeys`; gateways pass `keyDigests` on instead,
    which are base64.
    """

    name: str
    apiKeys: list[str] = []
    keyDigests: list[str] = []
    priority: int | None = None


def read_organisations(
    tenants: list[TenantMessage],
) -> OrganisationTable | None:
    """Convert the organisations; raises ValueError for an invalid one.

    None without any. Entries of the same name are one organisation.
    """
    by_name: dict[str, Organisation] = {}
    owners: dict[bytes, str] = {}
    ambiguous: set[bytes] = set()
    for number, tenant in enumerate(tenants):
        if not _NAME_PATTERN.fullmatch(tenant.name):
            raise ValueError(
                f"$.tenants[{number}].name: not 1 to 256 printable ASCII "
                "characters without spaces at the ends"
            )
        known = by_name.get(tenant.name)
        if known is None or known.priority is None:
            by_name[tenant.name] = Organisation(tenant.name, tenant.priority)
        for digest in _list_digests(tenant, number):
            if owners.setdefault(digest, tenant.name) != tenant.name:
                ambiguous.add(digest)
    by_digest = {
        digest: by_name[name]
        for digest, name in owners.items()
        if digest not in ambiguous
    }
    return OrganisationTable(by_name, by_digest) if by_name else None


def conceal_keys(value: bytes) -> bytes:
    """Return a configuration with digests in place of its keys.

    Nothing else changes, also what this version doesn't know. An unreadable
    configuration is replaced by the error, since it may hold keys anywhere.
    """
    if _KEYS.encode() not in value and b"\\u" not in value:
        return value
    try:
        fields = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
        if _TENANTS not in fields:
            return value
        tenants = msgspec.json.decode(
            fields[_TENANTS], type=list[dict[str, msgspec.Raw]]
        )
        for tenant in tenants:
            _conceal_tenant(tenant)
    except msgspec.MsgspecError as error:
        return msgspec.json.encode({"unreadable": str(error)})
    fields[_TENANTS] = msgspec.Raw(msgspec.json.encode(tenants))
    return msgspec.json.encode(fields)


def _conceal_tenant(tenant: dict[str, msgspec.Raw]) -> None:
    """Replace the keys of one organisation; raises MsgspecError."""
    raw_keys = tenant.pop(_KEYS, None)
    if raw_keys is None:
        return
    keys = msgspec.json.decode(raw_keys, type=list[str])
    digests = [
        b64encode(compute_digest(key.encode())).decode() for key in keys if key
    ]
    if _DIGESTS in tenant:
        known = msgspec.json.decode(tenant[_DIGESTS], type=list[str])
        digests = [*known, *digests]
    tenant[_DIGESTS] = msgspec.Raw(msgspec.json.encode(digests))


def _list_digests(tenant: TenantMessage, number: int) -> list[bytes]:
    """Return the digests of an organisation's keys; raises ValueError.

    No call has an empty key.
    """
    digests = [compute_digest(key.encode()) for key in tenant.apiKeys if key]
    for encoded in tenant.keyDigests:
        try:
            digest = b64decode(encoded, validate=True)
        except binascii.Error:
            digest = b""
        if len(digest) != DIGEST_BYTES:
            raise ValueError(
                f"$.tenants[{number}].keyDigests: not SHA-256 in base64"
            )
        digests.append(digest)
    return digests
