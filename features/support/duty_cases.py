"""Cases of duties: when to call, calls over HTTP, settings."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
import json
import tempfile

from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.duties.guard import DutyGuard
from pistachiospar.duties.models import DutyOutcome
from pistachiospar.duties.models import DutyTerm
from pistachiospar.platform.cloud import CloudClient
from pistachiospar.platform.settings import read_gateway
from pistachiospar.pool_holders.models import Role
from result import Err
import trio

LEASE_S = 3.0
OWN = "own"
OTHER_TERM = DutyTerm("other", "other", 5)
OWN_TERM = DutyTerm("gateway", OWN, 5)
EXPECTED_REQUESTS = [
    ("/usage", "g0", "7", b'{"window":3,"counts":{"a":1,"b":2}}'),
    ("/scale", "g0", "8", b'{"service":"s","zone":"z","targetGroups":6}'),
]


@dataclass(slots=True)
class GuardRun:
    """A guard with a clock that stands still."""

    now: float = 100.0
    role: Role = field(
        default_factory=lambda: Role("duty/usage", "", 7, 1, 102.7)
    )
    guard: DutyGuard = field(init=False)

    def __post_init__(self) -> None:
        """Create the guard."""
        self.guard = DutyGuard(LEASE_S, lambda: self.now)

    def begin(self, previous: DutyTerm | None) -> "GuardRun":
        """Begin a term."""
        self.guard.begin_term(self.role, self.role.fence, previous, OWN)
        return self

    def call(self, outcome: DutyOutcome) -> "GuardRun":
        """Make a call with an outcome, in a term of its own."""
        with self.guard.track_call() as outcomes:
            outcomes.append(outcome)
        return self

    def advance(self, seconds: float, fence: int = 0) -> "GuardRun":
        """Let time pass; the lease was renewed, maybe with a new fence."""
        self.now += seconds
        self.role.valid_until = self.now + 2.7
        self.role.fence = fence or self.role.fence
        return self

    def stop(self) -> str:
        """Return how the duty is given up when the gateway stops."""
        if self.guard.is_quiet():
            return "releases the duty"
        return "lets the lease end"

    def explain(self) -> str:
        """Return why no call may be made."""
        return self.guard.explain_refusal()


def let_lease_end() -> str:
    """Ask shortly before the end of a lease."""
    run = GuardRun().begin(None)
    run.now = run.role.valid_until - 0.9
    return run.explain()


def lose_role() -> str:
    """Ask after the role was lost."""
    run = GuardRun().begin(None)
    run.role.lost = True
    return run.explain()


def stop_during_call() -> str:
    """Stop while a call is under way."""
    run = GuardRun().begin(None)
    with run.guard.track_call() as outcomes:
        outcomes.append(DutyOutcome.DONE)
        return run.stop()


GUARD_CASES: dict[str, Callable[[], str]] = {
    "first holder of all": lambda: GuardRun().begin(None).explain(),
    "after another holder": lambda: (
        GuardRun().begin(OTHER_TERM).advance(LEASE_S - 0.1).explain()
    ),
    "a lease after another holder": lambda: (
        GuardRun().begin(OTHER_TERM).advance(LEASE_S).explain()
    ),
    "again, nobody in between": lambda: GuardRun().begin(OWN_TERM).explain(),
    "again, a call without response": lambda: (
        GuardRun().call(DutyOutcome.FAILED).begin(OWN_TERM).explain()
    ),
    "again, a call with response": lambda: (
        GuardRun().call(DutyOutcome.DONE).begin(OWN_TERM).explain()
    ),
    "lease ends within a call's time": let_lease_end,
    "role was lost": lose_role,
    "role has a new fence": lambda: (
        GuardRun().begin(None).advance(0.0, fence=8).explain()
    ),
    "stops, all calls have a response": lambda: (
        GuardRun().begin(None).call(DutyOutcome.DONE).stop()
    ),
    "stops, a call has no response": lambda: (
        GuardRun()
        .begin(None)
        .call(DutyOutcome.FAILED)
        .advance(1.9 * LEASE_S)
        .stop()
    ),
    "stops, a call is under way": stop_during_call,
    "stops, long after such a call": lambda: (
        GuardRun()
        .begin(None)
        .call(DutyOutcome.FAILED)
        .advance(2 * LEASE_S)
        .stop()
    ),
    "fence was refused": lambda: (
        GuardRun().begin(None).call(DutyOutcome.FENCED).explain()
    ),
    "new fence after a refused one": lambda: (
        GuardRun()
        .begin(None)
        .call(DutyOutcome.FENCED)
        .advance(1.0, fence=9)
        .begin(OWN_TERM)
        .explain()
    ),
}


def call_interface(
    status: int,
) -> tuple[str, list[tuple[str, str, str, bytes]]]:
    """Make both calls at a stand-in; return an outcome and the requests."""
    requests: list[tuple[str, str, str, bytes]] = []

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        requests.append(
            (
                request.path,
                request.headers.get("duty-holder", ""),
                request.headers.get("fence-token", ""),
                request.body,
            )
        )
        await exchange.send_response(status, [], b"")

    async def work() -> str:
        server = HttpServer(handle)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(
                    trio.serve_tcp,
                    server.handle_connection,
                    0,
                    host="127.0.0.1",
                )
            )
            port = listeners[0].socket.getsockname()[1]
            client = CloudClient(Address("127.0.0.1", port), "g0")
            body = client.encode_usage(3, {"b": 2, "a": 1})
            outcome = await client.report_usage(7, body)
            assert outcome is await client.set_instances(8, "s", "z", 6)
            nursery.cancel_scope.cancel()
        return outcome.value

    return trio.run(work), requests


def read_duty_settings(text: str) -> str:
    """Return a short text on the settings of duties in a file."""
    settings = {
        "node": "n",
        "zone": "z",
        "ip": "127.0.0.1",
        "platform": {"address": "127.0.0.1:1"},
        **json.loads(text),
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(settings, file)
        file.flush()
        read = read_gateway(file.name)
    if isinstance(read, Err):
        return "error"
    duties = read.ok_value.duties
    if duties is None:
        return "none"
    names = ",".join(duties.names)
    return f"{names}, {duties.window_s:g} s, {duties.report_due_s:g} s"
