"""Decisions on organisations: keys, headers, records, messages."""

from collections.abc import Callable

import msgspec
from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.models import Headers
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.crashes.fingerprints import compute_fingerprint
from pistachiospar.directory.history import HistoryPosition
from pistachiospar.directory.history import PrefixHistory
from pistachiospar.organisations.decisions import authenticate
from pistachiospar.organisations.models import ConfigurationAge
from pistachiospar.organisations.models import KeyRefusal
from pistachiospar.organisations.models import KeyRules
from pistachiospar.organisations.models import Organisation
from pistachiospar.platform.callers import CallerHeaders
from pistachiospar.platform.callers import read_identity
from pistachiospar.platform.callers import read_submission
from pistachiospar.platform.manifest import read_table
from pistachiospar.platform.organisations import conceal_keys
from pistachiospar.platform.sampler_headers import make_headers
from pistachiospar.ports.kv import KvEvent
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.routing.instances import ListedInstance
from pistachiospar.routing.models import RouteTable
from pistachiospar.submissions.models import ResultPage
from pistachiospar.submissions.models import Submission
from result import Err

from .platform_decoding import read_settings
from .platform_decoding import VALID_SETTINGS

LONG_KEY = "k" * 512
TENANTS: list[dict[str, object]] = [
    {"name": "cuka620", "apiKeys": ["key-1", "key-2", "both"], "priority": 0},
    {
        "name": "o2",
        "apiKeys": ["key-3", "both", "", LONG_KEY, "k" * 513, "clé-à"],
    },
]
CONFIGURATION: dict[str, object] = {
    "version": 7,
    "routes": [
        {"name": "a", "host": "h", "prefix": "/"},
        {"name": "b", "host": "h", "prefix": "/p/", "public": True},
    ],
    "services": [],
    "limits": {},
    "future": {"apiKeysLeft": 1},
}
ENCODED = msgspec.json.encode(
    {**CONFIGURATION, "tenants": [{**t, "future": [1]} for t in TENANTS]}
)
IN_TOUCH = ConfigurationAge(0.1, 0.1)
LOST = ConfigurationAge(30.0, 30.0)
STRICT = KeyRules(revoke_after_s=4.5)
FOUND = Organisation("cuka620", 0)


def decide_key(
    *values: str,
    age: ConfigurationAge = IN_TOUCH,
    rules: KeyRules = KeyRules(),
    path: str = "/x",
    encoded: bytes = ENCODED,
) -> Organisation | None | str:
    """Return the organisation of a call, or the fault of its key."""
    table = read_table(encoded).unwrap()
    route = table.find_route("h", path)
    headers = [("Authorization", value) for value in values]
    found = authenticate(table, route, headers, age, rules)
    if isinstance(found, KeyRefusal):
        return found.fault.value
    return found


def list_sent(organisation: str | None) -> list[str]:
    """Return the headers that name an organisation to a sampler."""
    headers: Headers = [
        ("Authorization", "Bearer key-1"),
        ("TENANT", "forged"),
        ("X-Own", "1"),
    ]
    call = SamplerCall(
        "c", "GET", "/", headers, b"", 1.0, organisation=organisation
    )
    instance = ListedInstance("i", "u", Address("h", 1), "z", 1, False)
    names = ("authorization", "tenant", "x-own")
    return [
        f"{name}: {value}"
        for name, value in make_headers(instance, call)
        if name.lower() in names
    ]


def list_item_headers(organisation: str | None) -> list[tuple[str, str]]:
    """Return the stored headers of an item that has a key."""
    headers = '{"authorization":"Bearer key-1","Tenant":"o2","Model":"m"}'
    body = f'{{"items":[{{"id":"a","path":"/","headers":{headers}}}]}}'
    request = HttpRequest("POST", "/p/", "", {}, body.encode())
    caller = CallerHeaders("r", "h", None)
    read = read_submission(request, caller, 0.0, organisation).unwrap()
    return read.items[0].headers


def compute_for(key: str, organisation: str) -> str:
    """Return the fingerprint of an organisation's call with a key."""
    request = HttpRequest("POST", "/", "", {"authorization": f"Bearer {key}"})
    identity = read_identity(request, organisation)
    return compute_fingerprint("h", "POST", "/", identity, b"")


def read_older_submission() -> str:
    """Return the organisation of a record that doesn't have the field."""
    older: tuple[object, ...] = ("id", "h", "/p/", "m", 1, 1, 1, [], 0.0)
    encoded = msgspec.msgpack.encode(older)
    return msgspec.msgpack.decode(encoded, type=Submission).organisation


def read_older_page() -> str | None:
    """Return the organisation of a page that doesn't have the field."""
    encoded = msgspec.msgpack.encode((0, []))
    return msgspec.msgpack.decode(encoded, type=ResultPage).organisation


def compare_tables(first: bytes, second: bytes) -> bool:
    """Return whether two configurations have the same organisations."""
    tables: list[RouteTable] = [
        read_table(v).unwrap() for v in (first, second)
    ]
    return tables[0].organisations == tables[1].organisations


def read_revoke_s(bounds: str) -> tuple[float, float | None]:
    """Return what settings say of the configuration's age."""
    settings = read_settings(VALID_SETTINGS + f"bounds: {bounds}\n").unwrap()
    return settings.config_apply_s, settings.revoke_s


def count_keys(encoded: bytes) -> int:
    """Return the number of keys that a configuration accepts."""
    organisations = read_table(encoded).unwrap().organisations
    return len(organisations.by_digest) if organisations else 0


def find_concealed() -> tuple[bool, object, object]:
    """Return what a concealed configuration has of keys and other fields."""
    concealed = conceal_keys(ENCODED)
    decoded = msgspec.json.decode(concealed)
    has_key = any(key in concealed for key in (b"key-1", b"both", b"kkk"))
    return has_key, decoded["future"], decoded["tenants"][1]["future"]


def find_unreadable() -> tuple[bool, bool]:
    """Return whether an unreadable configuration shows a key, or is read."""
    concealed = conceal_keys(ENCODED[:-3])
    return b"key-1" in concealed, read_table(concealed).is_ok()


def describe_invalid(tenant: dict[str, object]) -> str:
    """Return the start of the error for an invalid organisation."""
    encoded = msgspec.json.encode({**CONFIGURATION, "tenants": [tenant]})
    read = read_table(encoded)
    assert isinstance(read, Err)
    return read.err_value.partition(":")[0]


def count_large_changes() -> tuple[bool, int]:
    """Return what a follower of a history of large values gets."""
    history = PrefixHistory("h", [], 0)
    for revision in range(1, 20):
        history.record(KvEvent("op/config", b"x" * 1_000_000, revision))
    in_sync = history.read(HistoryPosition("h", 18, 18, 18), 19)
    late = history.read(HistoryPosition("h", 1, 1, 1), 19)
    return late.is_snapshot, len(in_sync.events)


CASES: dict[str, tuple[Callable[[], object], object]] = {
    "a known key": (lambda: decide_key("Bearer key-2"), FOUND),
    "no key": (decide_key, "key-missing"),
    "an equal key twice": (
        lambda: decide_key("Bearer key-1", "Bearer key-1"),
        "key-duplicated",
    ),
    "another scheme": (lambda: decide_key("Basic key-1"), "key-unreadable"),
    "a scheme without a key": (
        lambda: decide_key("Bearer "),
        "key-unreadable",
    ),
    "a key with a space": (
        lambda: decide_key("Bearer key-1 key-1"),
        "key-unreadable",
    ),
    "a key with a control character": (
        lambda: decide_key("Bearer key-1\x7f"),
        "key-unreadable",
    ),
    "a key beyond ASCII": (
        lambda: decide_key("Bearer " + "clé-à".encode().decode("latin-1")),
        Organisation("o2"),
    ),
    "a key of 512 characters": (
        lambda: decide_key(f"bearer {LONG_KEY}"),
        Organisation("o2"),
    ),
    "a key of 513 characters": (
        lambda: decide_key(f"Bearer {LONG_KEY}k"),
        "key-oversized",
    ),
    "an unknown key": (lambda: decide_key("Bearer key-4"), "key-unknown"),
    "an unknown key, no contact": (
        lambda: decide_key("Bearer key-4", age=LOST),
        "configuration-unconfirmed",
    ),
    "a known key, no contact": (
        lambda: decide_key("Bearer key-1", age=LOST),
        FOUND,
    ),
    "a known key, no contact, strict": (
        lambda: decide_key("Bearer key-1", age=LOST, rules=STRICT),
        "configuration-unconfirmed",
    ),
    "no key, no contact, strict": (
        lambda: decide_key(age=LOST, rules=STRICT),
        "key-missing",
    ),
    "a key of two organisations": (
        lambda: decide_key("Bearer both"),
        "key-unknown",
    ),
    "an empty key": (lambda: decide_key("Bearer"), "key-unreadable"),
    "a public route": (lambda: decide_key(path="/p/x"), None),
    "no organisations": (
        lambda: decide_key(encoded=msgspec.json.encode(CONFIGURATION)),
        None,
    ),
    "a sampler's headers with an organisation": (
        lambda: list_sent("cuka620"),
        ["X-Own: 1", "Tenant: cuka620"],
    ),
    "a sampler's headers of a public call": (
        lambda: list_sent(""),
        ["X-Own: 1"],
    ),
    "a sampler's headers without organisations": (
        lambda: list_sent(None),
        ["Authorization: Bearer key-1", "TENANT: forged", "X-Own: 1"],
    ),
    "an item's headers": (
        lambda: [len(list_item_headers(None)), list_item_headers("o2")],
        [3, [("Model", "m")]],
    ),
    "two keys of one organisation": (
        lambda: compute_for("key-1", "o") == compute_for("key-2", "o"),
        True,
    ),
    "two organisations": (
        lambda: compute_for("key-1", "o") == compute_for("key-1", "p"),
        False,
    ),
    "a submission of an earlier build": (read_older_submission, ""),
    "a page of an earlier build": (read_older_page, None),
    "a configuration with keys": (lambda: count_keys(ENCODED), 6),
    "a configuration with digests": (
        lambda: compare_tables(ENCODED, conceal_keys(ENCODED)),
        True,
    ),
    "a configuration whose keys are concealed": (
        find_concealed,
        (False, {"apiKeysLeft": 1}, [1]),
    ),
    "a concealed configuration, concealed again": (
        lambda: conceal_keys(conceal_keys(ENCODED)) == conceal_keys(ENCODED),
        True,
    ),
    "an unreadable configuration": (find_unreadable, (False, False)),
    "keys whose name is escaped": (
        lambda: (
            b"key-1" in conceal_keys(ENCODED.replace(b"apiK", b"\\u0061piK"))
        ),
        False,
    ),
    "a name that no header can have": (
        lambda: describe_invalid({"name": "a\r\nb"}),
        "$.tenants[0].name",
    ),
    "a list of keys that is text": (
        lambda: describe_invalid({"name": "a", "apiKeys": "key"}),
        "$.tenants[].apiKeys",
    ),
    "a digest that is none": (
        lambda: describe_invalid({"name": "a", "keyDigests": ["eA=="]}),
        "$.tenants[0].keyDigests",
    ),
    "the history of large configurations": (count_large_changes, (True, 1)),
    "settings with strict revocation": (
        lambda: read_revoke_s("{strictRevoke: true, configApplyMs: 2000}"),
        (2.0, 5.0),
    ),
    "settings without strict revocation": (
        lambda: read_revoke_s("{revokeMs: 4000}"),
        (3.0, None),
    ),
}
