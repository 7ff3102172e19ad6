"""Valid and invalid input from the platform.

Registrations of instances, the configuration, requests on submissions and
settings files.
"""

from collections.abc import Callable
import json
from pathlib import Path
from tempfile import TemporaryDirectory

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import read_caller_headers
from pistachiospar.platform.callers import read_submission
from pistachiospar.platform.callers import read_submission_request
from pistachiospar.platform.instances import read_instance
from pistachiospar.platform.manifest import read_table
from pistachiospar.platform.settings import GatewaySettings
from pistachiospar.platform.settings import read_gateway
from result import Err
from result import Result

REGISTRATION = (
    b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,'
    b'"state":"%s","version":"v1","sequence":4,'
    b'"models":[{"name":"m","version":3}]}'
)
CONFIGURATION = b"""{"version":7,"routes":[
{"name":"a","host":"h","prefix":"/","kind":"safe","service":"s"},
{"name":"b","host":"h","prefix":"/x/","kind":"unsafe","service":"s"},
{"name":"c","host":"h","prefix":"/x/y/","kind":"future","service":"s"},
{"name":"d","host":"o","prefix":"/","kind":"safe",
"split":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
"services":[{"name":"s"}],"limits":{}}"""


def decode_registration(state: bytes, value: bytes = REGISTRATION) -> str:
    """Decode an instance's registration; return its main fields."""
    read = read_instance("servers/i-1", value % state)
    if isinstance(read, Err):
        return "unreadable"
    found = read.ok_value
    return f"{found.name} {found.address} {found.leaving} {found.versions}"


def find_route(host: str, path: str) -> str:
    """Return the name, upstreams and repeatability of a path's route."""
    route = read_table(CONFIGURATION).unwrap().find_route(host, path)
    if route is None:
        return "none"
    shares = "+".join(share.upstream for share in route.shares)
    return f"{route.name} {shares} {route.is_repeatable}"


def decode_submission(body: bytes) -> str:
    """Decode a submission; return its items and their expected tokens."""
    request = HttpRequest("POST", "/p/", "", {"request-id": "r"}, body)
    read = read_submission(request, read_caller_headers(request), 0.0)
    if isinstance(read, Err):
        return f"refused {read.err_value}"
    items = read.ok_value.items
    return f"{len(items)} items, {[i.expected_tokens for i in items]}"


def add_to_item(**fields: object) -> bytes:
    """Return a submission whose item differs in some fields."""
    item = {"id": "a", "path": "/p/a", "body": "aGk=", **fields}
    return json.dumps({"items": [item]}).encode()


def decode_tokens(counts: bytes) -> str:
    """Return an item's tokens: prompt, expected output, largest output."""
    body = ITEM.replace(b"10,400", counts)
    request = HttpRequest("POST", "/p/", "", {"request-id": "r"}, body)
    caller = read_caller_headers(request)
    [item] = read_submission(request, caller, 0.0).unwrap().items
    found = item.prompt_tokens, item.expected_tokens, item.max_tokens
    return " ".join(map(str, found))


def decode_submission_request(method: str, target: str) -> str:
    """Decode a request on a submission; return it as text."""
    path, _, query = target.partition("?")
    request = HttpRequest(method, path, query, {"wait-ms": "1000"})
    return str(read_submission_request(request))


def read_settings(text: str) -> Result[GatewaySettings, str]:
    """Read a settings file of a text."""
    with TemporaryDirectory() as folder:
        file = Path(folder, "node.yaml")
        file.write_text(text, encoding="utf-8")
        return read_gateway(str(file))


def decode_settings(text: str) -> str:
    """Decode a settings file; return its node and address, or the error."""
    read = read_settings(text)
    if isinstance(read, Err):
        return "refused: " + read.err_value.rpartition("node.yaml: ")[2][:40]
    return f"{read.ok_value.name} {read.ok_value.peer}"


VALID_SETTINGS = (
    "node: n\nzone: z\nip: 10.0.0.1\nfuture: [1]\n"
    "internalPorts: [7380, 7395]\nplatform: {address: '10.9.0.1:80'}\n"
)
JSON_SETTINGS = (
    '{"node": "n", "zone": "z", "ip": "10.0.0.1", '
    '"internalPorts": [7380, 7395], '
    '"platform": {"address": "10.9.0.1:80"}}'
)
ITEM = (
    b'{"items":[{"id":"a","path":"/p/a","body":"aGk=",'
    b'"headers":{"Token-Counts":"10,400","Length-Hint":"120"}}]}'
)

CASES: dict[str, tuple[Callable[[], str], str]] = {
    "a registration that is ready": (
        lambda: decode_registration(b"ready"),
        "i-1 10.0.0.1:80 False {'m': 3}",
    ),
    "a registration that is draining": (
        lambda: decode_registration(b"draining"),
        "i-1 10.0.0.1:80 True {'m': 3}",
    ),
    "a registration in an unknown state": (
        lambda: decode_registration(b"dreaming"),
        "unreadable",
    ),
    "a registration of invalid bytes": (
        lambda: decode_registration(b"", b"\xff\x00%s"),
        "unreadable",
    ),
    "a registration without address": (
        lambda: decode_registration(b"", b'{"service":"s"%s}'),
        "unreadable",
    ),
    "a registration with text for slots": (
        lambda: decode_registration(
            b"ready", REGISTRATION.replace(b'"slots":8', b'"slots":"8"')
        ),
        "unreadable",
    ),
    "the longest prefix": (lambda: find_route("h", "/x/1"), "b s False"),
    "a prefix of another host": (lambda: find_route("q", "/x/1"), "none"),
    "a route of an unknown kind": (
        lambda: find_route("h", "/x/y/1"),
        "c s False",
    ),
    "a route that is split": (lambda: find_route("o", "/"), "d s+t True"),
    "the tokens of an item": (
        lambda: decode_tokens(b"10,400"),
        "10 120.0 400",
    ),
    "tokens of an item without a prompt": (
        lambda: decode_tokens(b"400"),
        "0 120.0 400",
    ),
    "a submission": (lambda: decode_submission(ITEM), "1 items, [120.0]"),
    "a submission that is not JSON": (
        lambda: decode_submission(b"{"),
        "refused",
    ),
    "a submission with a bad body": (
        lambda: decode_submission(ITEM.replace(b"aGk=", b"a!")),
        "refused",
    ),
    "an item with a header outside Latin-1": (
        lambda: decode_submission(add_to_item(headers={"Shop": "R\u012bga"})),
        "refused items[0]: HTTP can't carry its header 'Shop'",
    ),
    "an item with a line break in a header": (
        lambda: decode_submission(add_to_item(headers={"A": "b\r\nC: d"})),
        "refused items[0]: HTTP can't carry its header 'A'",
    ),
    "an item with a Host": (
        lambda: decode_submission(add_to_item(headers={"Host": "x"})),
        "refused items[0]: HTTP can't carry its header 'Host'",
    ),
    "an item with a space in its path": (
        lambda: decode_submission(add_to_item(path="/p/a b")),
        "refused items[0]: HTTP can't carry its path",
    ),
    "an item whose scoring call has a bad path": (
        lambda: decode_submission(
            add_to_item(scorer={"id": "s", "host": "h", "path": "/\u016b"})
        ),
        "refused items[0]: HTTP can't carry its scorer's path",
    ),
    "an item with a header in Latin-1": (
        lambda: decode_submission(add_to_item(headers={"Shop": "caf\xe9"})),
        "1 items",
    ),
    "a submission that is nested too deeply": (
        lambda: decode_submission(b'{"items":' + b"[" * 100_000),
        "refused",
    ),
    "a step that is too large to store": (
        lambda: decode_submission(b'{"items":[],"step":' + b"9" * 40 + b"}"),
        "refused",
    ),
    "a request for results": (
        lambda: decode_submission_request("GET", "/lots/a%20b?after=3"),
        "ResultsRequest(submission='a b', after=3, wait_s=1.0)",
    ),
    "a request for results after no number": (
        lambda: decode_submission_request("GET", "/lots/a?after=x"),
        "ResultsRequest(submission='a', after=0, wait_s=1.0)",
    ),
    "a request to end": (
        lambda: decode_submission_request("DELETE", "/lots/a"),
        "EndRequest(submission='a')",
    ),
    "another path": (
        lambda: decode_submission_request("GET", "/other"),
        "None",
    ),
    "settings": (lambda: decode_settings(VALID_SETTINGS), "n 10.0.0.1:7380"),
    "settings in JSON": (
        lambda: decode_settings(JSON_SETTINGS),
        "n 10.0.0.1:7380",
    ),
    "settings in JSON without a node": (
        lambda: decode_settings('{"zone": "z"}'),
        "refused: Object missing required field `node`",
    ),
    "settings in a YAML mapping with braces": (
        lambda: decode_settings(
            "{node: n, zone: z, ip: 10.0.0.1, internalPorts: [7380, 7395], "
            "platform: {address: '10.9.0.1:80'}}"
        ),
        "n 10.0.0.1:7380",
    ),
    "settings without a node": (
        lambda: decode_settings("zone: z\n"),
        "refused: Object missing required field `node`",
    ),
    "settings that are not YAML": (
        lambda: decode_settings("{"),
        "refused: while parsing a flow node",
    ),
}
