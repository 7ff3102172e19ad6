"""Support what others write on the platform, good and bad."""

from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform.callers import read_caller_headers
from pistachiospar.platform.callers import read_submission
from pistachiospar.platform.callers import read_submission_call
from pistachiospar.platform.instances import read_instance
from pistachiospar.platform.manifest import read_table
from pistachiospar.platform.settings import read_gateway
from result import Err

INSTANCE = (
    b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,'
    b'"state":"%s","sequence":4,"models":[{"name":"m","version":3}]}'
)
TABLE = b"""{"version":7,"routes":[
{"name":"a","host":"h","prefix":"/","kind":"safe","service":"s"},
{"name":"b","host":"h","prefix":"/x/","kind":"unsafe","service":"s"},
{"name":"c","host":"h","prefix":"/x/y/","kind":"future","service":"s"},
{"name":"d","host":"o","prefix":"/","kind":"safe",
"split":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
"services":[{"name":"s"}],"limits":{}}"""


def read_entry(state: bytes, value: bytes = INSTANCE) -> str:
    """Say what an instance's entry is read as."""
    read = read_instance("servers/i-1", value % state)
    if isinstance(read, Err):
        return "unreadable"
    found = read.ok_value
    return f"{found.name} {found.address} {found.leaving} {found.versions}"


def find_route(host: str, path: str) -> str:
    """Say which route a path takes."""
    route = read_table(TABLE).unwrap().find_route(host, path)
    if route is None:
        return "none"
    shares = "+".join(share.upstream for share in route.shares)
    return f"{route.name} {shares} {route.repeatable}"


def read_body(body: bytes) -> str:
    """Say what a submission's body is read as."""
    request = HttpRequest("POST", "/p/", "", {"request-id": "r"}, body)
    read = read_submission(request, read_caller_headers(request), 0.0)
    if isinstance(read, Err):
        return "refused"
    items = read.ok_value.items
    return f"{len(items)} items, {[i.expected_tokens for i in items]}"


def read_call(method: str, target: str) -> str:
    """Say what a call on a submission is read as."""
    path, _, query = target.partition("?")
    request = HttpRequest(method, path, query, {"wait-ms": "1000"})
    return str(read_submission_call(request))


def read_settings(text: str) -> str:
    """Say what a settings file is read as."""
    with TemporaryDirectory() as folder:
        file = Path(folder, "node.yaml")
        file.write_text(text, encoding="utf-8")
        read = read_gateway(str(file))
    if isinstance(read, Err):
        return "refused: " + read.err_value.rpartition("node.yaml: ")[2][:40]
    return f"{read.ok_value.name} {read.ok_value.peer}"


GOOD_SETTINGS = (
    "node: n\nzone: z\nip: 10.0.0.1\nfuture: [1]\n"
    "internalPorts: [7380, 7395]\nplatform: {address: '10.9.0.1:80'}\n"
)
ITEM = (
    b'{"items":[{"id":"a","path":"/p/a","body":"aGk=",'
    b'"headers":{"Token-Counts":"10,400","Length-Hint":"120"}}]}'
)

CASES: dict[str, tuple[Callable[[], str], str]] = {
    "an entry that is ready": (
        lambda: read_entry(b"ready"),
        "i-1 10.0.0.1:80 False {'m': 3}",
    ),
    "an entry that is draining": (
        lambda: read_entry(b"draining"),
        "i-1 10.0.0.1:80 True {'m': 3}",
    ),
    "an entry in an unknown state": (
        lambda: read_entry(b"dreaming"),
        "unreadable",
    ),
    "an entry of other bytes": (
        lambda: read_entry(b"", b"\xff\x00%s"),
        "unreadable",
    ),
    "an entry without address": (
        lambda: read_entry(b"", b'{"service":"s"%s}'),
        "unreadable",
    ),
    "an entry with text for slots": (
        lambda: read_entry(
            b"ready", INSTANCE.replace(b'"slots":8', b'"slots":"8"')
        ),
        "unreadable",
    ),
    "the longest prefix": (lambda: find_route("h", "/x/1"), "b s False"),
    "a prefix of another host": (lambda: find_route("q", "/x/1"), "none"),
    "a kind that is not known": (
        lambda: find_route("h", "/x/y/1"),
        "c s False",
    ),
    "a route that is split": (lambda: find_route("o", "/"), "d s+t True"),
    "a submission": (lambda: read_body(ITEM), "1 items, [120.0]"),
    "a submission that is no JSON": (lambda: read_body(b"{"), "refused"),
    "a submission with a bad body": (
        lambda: read_body(ITEM.replace(b"aGk=", b"a!")),
        "refused",
    ),
    "a reading": (
        lambda: read_call("GET", "/lots/a%20b?after=3"),
        "ResultsRequest(submission='a b', after=3, wait_s=1.0)",
    ),
    "a reading from no number": (
        lambda: read_call("GET", "/lots/a?after=x"),
        "ResultsRequest(submission='a', after=0, wait_s=1.0)",
    ),
    "an end": (
        lambda: read_call("DELETE", "/lots/a"),
        "EndRequest(submission='a')",
    ),
    "another path": (lambda: read_call("GET", "/other"), "None"),
    "settings": (lambda: read_settings(GOOD_SETTINGS), "n 10.0.0.1:7380"),
    "settings without a node": (
        lambda: read_settings("zone: z\n"),
        "refused: Object missing required field `node`",
    ),
    "settings that are no YAML": (
        lambda: read_settings("{"),
        "refused: while parsing a flow node",
    ),
}
