"""Cases of a single call under link faults, in virtual time."""

from collections.abc import Iterable
from collections import Counter
from dataclasses import dataclass

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.links import FaultPoint
from pistachiospar_standins.fakes.links import LinkFault
from pistachiospar_standins.fakes.recorders import ResponseRecorder
import trio

from .bundles import make_bundle

MAX_VIRTUAL_S = 600.0


@dataclass(frozen=True, slots=True)
class CallKind:
    """Kind of call to the plain upstream; `keyed` adds an idempotency key."""

    method: str
    path: str
    keyed: bool = False


CALL_KINDS = {
    "lookup": CallKind("GET", "lookup"),
    "stream": CallKind("GET", "stream"),
    "record": CallKind("POST", "weights"),
    "keyed record": CallKind("POST", "weights", True),
}


@dataclass(slots=True)
class CallResult:
    """Response to a call, and how often the upstream ran it.

    `runs` is counted 30 s later than `runs_at_response`.
    """

    response: ResponseRecorder
    runs: int
    runs_at_response: int
    took_s: float
    sent_body: str

    def is_complete(self) -> bool:
        """Return whether the body is the complete response to this call."""
        words = self.response.body.decode().split(" ", 2)
        return len(words) == 3 and words[2] == self.sent_body


def make_request(
    kind: CallKind, body: str, timeout_ms: int, caller: str = "app"
) -> HttpRequest:
    """Return the HTTP request of a call."""
    headers = {
        "pistachiospar-caller": caller,
        "pistachiospar-timeout-ms": str(timeout_ms),
    }
    if kind.keyed:
        headers["idempotency-key"] = body
    path = f"/upstreams/plain/{kind.path}"
    return HttpRequest(kind.method, path, "", headers, body.encode())


async def call_entry(
    fleet: MemoryFleet, entry: str, request: HttpRequest
) -> ResponseRecorder:
    """Send a request to an entry and return what the caller saw."""
    recorder = ResponseRecorder()
    await fleet.entries[entry].handler.handle(request, recorder)
    return recorder


def count_runs(fleet: MemoryFleet) -> Counter[str]:
    """Return how often each request body was run, over all instances."""
    runs: Counter[str] = Counter()
    for service in fleet.services.values():
        runs.update(service.runs)
    return runs


def parse_link_faults(text: str) -> list[LinkFault]:
    """Parse faults such as `before dispatch, silent after dispatch`."""
    faults: list[LinkFault] = []
    for part in text.split(","):
        name = part.strip()
        if not name or name == "none":
            continue
        silent = name.startswith("silent ")
        point = FaultPoint(name.removeprefix("silent "))
        faults.append(LinkFault(point, silent))
    return faults


def run_call_case(
    kind: str, faults: Iterable[LinkFault], seed: int, timeout_ms: int = 8000
) -> CallResult:
    """Run one call; the faults occur in turn on whichever link it uses."""

    async def run_case() -> CallResult:
        plan = FleetPlan(make_bundle(), 2, {"plain": 3, "engine": 1})
        fleet = MemoryFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            inject_link_faults(fleet, list(faults))
            request = make_request(CALL_KINDS[kind], "body-1", timeout_ms)
            started_at = trio.current_time()
            response = await call_entry(fleet, "entry-1", request)
            took_s = trio.current_time() - started_at
            runs_at_response = count_runs(fleet)["body-1"]
            await trio.sleep(30.0)
            runs = count_runs(fleet)["body-1"]
            nursery.cancel_scope.cancel()
        return CallResult(response, runs, runs_at_response, took_s, "body-1")

    return run_virtual(run_case, seed, MAX_VIRTUAL_S)


def inject_link_faults(fleet: MemoryFleet, faults: list[LinkFault]) -> None:
    """Make entry-1's next orders fail in turn, on whichever plain link."""
    shared = next(iter(fleet.links.values())).faults
    shared.extend(faults)
    for (entry, instance), link in fleet.links.items():
        if entry == "entry-1" and instance.startswith("plain"):
            link.faults = shared
