"""Contract of the link port, for the in-memory and the network link."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.adapters.sidecar_link.client import NetworkSidecarLink
from pistachiospar.adapters.sidecar_link.server import ControlHandler
from pistachiospar.adapters.sidecar_link.server import SidecarHandler
from pistachiospar.bundle.coordinator import BundleKeeper
from pistachiospar.link.errors import LinkLostError
from pistachiospar.link.errors import LinkNotSentError
from pistachiospar.link.messages import Answered
from pistachiospar.link.messages import Heartbeat
from pistachiospar.link.messages import OrderKind
from pistachiospar.link.messages import Refused
from pistachiospar.link.messages import RunOrder
from pistachiospar.link.messages import SettleOrder
from pistachiospar.ports.link import SidecarLink
from pistachiospar.sidecar.coordinator import SidecarCoordinator
from pistachiospar.sidecar.scheduler import SlotScheduler
from pistachiospar_standins.fakes.entry_fleet import list_public_keys
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.links import MemoryLink
from pistachiospar_standins.fakes.links import SidecarHost
from pistachiospar_standins.fakes.upstreams import FakeService
import trio

from .bundles import PARTNERS
from .kv_contract import serve_loopback

MAX_VIRTUAL_S = 60.0


class LinkSubject:
    """A link under test and the sidecar behind it."""

    def __init__(self) -> None:
        """Create a sidecar over a plain service; the link is set later."""
        self.service = FakeService("s", 0.02)
        self.coordinator = SidecarCoordinator(
            name="plain-1",
            upstream_name="plain",
            upstream=self.service,
            engine=None,
            keeper=BundleKeeper(list_public_keys(PARTNERS)),
            scheduler=SlotScheduler(2, 16),
            rng=Random(1),
            now=trio.current_time(),
        )
        self.link: SidecarLink

    def make_order(
        self,
        number: int,
        path: str = "x",
        repeatable: bool = True,
        key: str = "",
        incarnation: str = "",
    ) -> RunOrder:
        """Make a run order of a plain call."""
        return RunOrder(
            request_id=f"r{number}",
            incarnation=incarnation or self.coordinator.incarnation,
            upstream="plain",
            kind=OrderKind.CALL,
            method="GET",
            path=path,
            caller="app",
            partner="north",
            priority=1,
            timeout_ms=5000,
            tokens=1,
            repeatable=repeatable,
            key=key,
        )

    async def run(self, order: RunOrder, body: bytes = b"b") -> list[object]:
        """Run an order; return the reply's class name and the body."""
        try:
            async with self.link.run(order, body) as stream:
                parts = [part async for part in stream.iter_chunks()]
                return [type(stream.reply).__name__, b"".join(parts)]
        except LinkNotSentError:
            return ["not sent"]
        except LinkLostError:
            return ["lost"]


async def run_order(subject: LinkSubject) -> list[object]:
    """Run an order."""
    return await subject.run(subject.make_order(1))


async def run_streamed_order(subject: LinkSubject) -> list[object]:
    """Run an order whose response comes in chunks."""
    return await subject.run(subject.make_order(1, "stream"))


async def run_when_draining(subject: LinkSubject) -> list[object]:
    """Run an order at a sidecar that drains."""
    subject.coordinator.drain()
    return (await subject.run(subject.make_order(1)))[:1]


async def run_for_older_incarnation(subject: LinkSubject) -> list[object]:
    """Run an order for an earlier incarnation of the sidecar."""
    order = subject.make_order(1, incarnation="0000")
    found = await subject.run(order)
    return [found[0], sum(subject.service.runs.values())]


async def truncate_response(subject: LinkSubject) -> list[object]:
    """Run an order whose response is truncated."""
    subject.service.faults.truncated_responses = 1
    return await subject.run(subject.make_order(1, "stream"))


async def lose_response(subject: LinkSubject) -> list[object]:
    """Run an order whose response is lost."""
    subject.service.faults.lost_responses = 1
    order = subject.make_order(1, repeatable=False, key="k")
    return (await subject.run(order))[:1]


async def run_when_upstream_down(subject: LinkSubject) -> list[object]:
    """Run an order whose upstream refuses connections."""
    subject.service.faults.down = True
    return (await subject.run(subject.make_order(1)))[:1]


async def send_late_copy(subject: LinkSubject) -> list[object]:
    """Settle an order before it arrives, then send it."""
    settlement = await subject.link.settle(SettleOrder("r1", "app", "k"))
    found = await subject.run(subject.make_order(1, repeatable=False, key="k"))
    runs = sum(subject.service.runs.values())
    return [settlement.unwrap().outcome.name, found[0], runs]


async def settle_answered_order(subject: LinkSubject) -> list[object]:
    """Settle an order that was answered, by id and by key."""
    await subject.run(subject.make_order(1, repeatable=False, key="k"))
    by_id = await subject.link.settle(SettleOrder("r1"))
    by_key = await subject.link.settle(SettleOrder("r9", "app", "k"))
    return [by_id.unwrap().outcome.name, by_key.unwrap().outcome.name]


async def share_key(subject: LinkSubject) -> list[object]:
    """Run two orders with one key, the second while the first runs."""
    bodies: list[object] = []

    async def run(number: int) -> None:
        order = subject.make_order(number, repeatable=False, key="k")
        bodies.append((await subject.run(order))[1])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, 1)
        await trio.sleep(0.005)
        nursery.start_soon(run, 2)
    return [bodies[0] == bodies[1], sum(subject.service.runs.values())]


async def cancel_early(subject: LinkSubject) -> list[object]:
    """Cancel an order while it runs, which must free its slot."""
    subject.service.service_duration_s = 5.0
    with trio.move_on_after(0.2):
        await subject.run(subject.make_order(1))
    await trio.sleep(0.2)
    return [subject.coordinator.scheduler.running, subject.service.running]


async def send_heartbeats(subject: LinkSubject) -> list[object]:
    """Send heartbeats, one that queries an unknown request."""
    status = (await subject.link.send_control(Heartbeat("e", 0))).unwrap()
    query = Heartbeat("e", 0, [], ["r7"])
    again = (await subject.link.send_control(query)).unwrap()
    return [status.name, status.ready, again.progress[0].known]


async def pull_missing_bundle(subject: LinkSubject) -> list[object]:
    """Pull a bundle from a sidecar that has none."""
    return [(await subject.link.pull_bundle(0)).unwrap().envelopes]


CASES: dict[str, Callable[[LinkSubject], Awaitable[list[object]]]] = {
    "an order is answered": run_order,
    "an order is answered in chunks": run_streamed_order,
    "the sidecar drains": run_when_draining,
    "an order is for an older incarnation": run_for_older_incarnation,
    "a response is truncated": truncate_response,
    "a response is lost": lose_response,
    "the upstream is down": run_when_upstream_down,
    "a late copy follows a settlement": send_late_copy,
    "an answered order is settled": settle_answered_order,
    "two orders share a key": share_key,
    "the entry cancels early": cancel_early,
    "heartbeats are sent": send_heartbeats,
    "a bundle is pulled where there is none": pull_missing_bundle,
}

ANSWERED = Answered.__name__
REFUSED = Refused.__name__
EXPECTED_RESULTS: dict[str, list[object]] = {
    "an order is answered": [ANSWERED, b"s x b"],
    "an order is answered in chunks": [ANSWERED, b"s stream b"],
    "the sidecar drains": [REFUSED],
    "an order is for an older incarnation": [REFUSED, 0],
    "a response is truncated": ["lost"],
    "a response is lost": ["Failed"],
    "the upstream is down": [REFUSED],
    "a late copy follows a settlement": ["NOT_RUN", REFUSED, 0],
    "an answered order is settled": ["ANSWERED", "ANSWERED"],
    "two orders share a key": [True, 1],
    "the entry cancels early": [0, 0],
    "heartbeats are sent": ["plain-1", True, False],
    "a bundle is pulled where there is none": [[]],
}


def run_on_fake(case_name: str) -> list[object]:
    """Run a case on the in-memory link, in virtual time."""

    async def run_case() -> list[object]:
        subject = LinkSubject()
        host = SidecarHost("plain-1")
        async with trio.open_nursery() as nursery:
            await nursery.start(subject.coordinator.run_tasks)
            host.coordinator, host.nursery = subject.coordinator, nursery
            subject.link = MemoryLink(host)
            found = await CASES[case_name](subject)
            nursery.cancel_scope.cancel()
        return found

    return run_virtual(run_case, 1, MAX_VIRTUAL_S)


def run_on_adapter(case_name: str) -> list[object]:
    """Run a case on the network link, over loopback."""

    async def run_case() -> list[object]:
        subject = LinkSubject()
        data = HttpServer(SidecarHandler(subject.coordinator).handle)
        control = ControlHandler(subject.coordinator)
        async with (
            trio.open_nursery() as nursery,
            serve_loopback(data.handle_connection) as data_at,
            serve_loopback(control.handle_connection) as control_at,
        ):
            await nursery.start(subject.coordinator.run_tasks)
            subject.link = NetworkSidecarLink(data_at, control_at)
            found = await CASES[case_name](subject)
            nursery.cancel_scope.cancel()
        return found

    return trio.run(run_case)
