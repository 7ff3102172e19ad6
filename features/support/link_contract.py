"""Support the contract of the link port: fake and adapters alike."""

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
from pistachiospar.sidecar.gate import SlotScheduler
from pistachiospar_standins.fakes.fleet import public_keys
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.links import MemoryLink
from pistachiospar_standins.fakes.links import SidecarHost
from pistachiospar_standins.fakes.upstreams import FakeService
import trio

from .bundles import PARTNERS
from .kv_contract import serve_loopback

LIMIT_S = 60.0


class Bench:
    """Hold a link to be tested, and the sidecar behind it."""

    def __init__(self) -> None:
        """Make a sidecar over a plain service."""
        self.service = FakeService("s", 0.02)
        self.coordinator = SidecarCoordinator(
            name="plain-1",
            upstream_name="plain",
            upstream=self.service,
            engine=None,
            keeper=BundleKeeper(public_keys(PARTNERS)),
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
        """Make an order."""
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
        """Run an order; return the reply's kind and the body."""
        try:
            async with self.link.run(order, body) as stream:
                parts = [part async for part in stream.iter_chunks()]
                return [type(stream.reply).__name__, b"".join(parts)]
        except LinkNotSentError:
            return ["not sent"]
        except LinkLostError:
            return ["lost"]


async def answered(bench: Bench) -> list[object]:
    """Run an order."""
    return await bench.run(bench.make_order(1))


async def streamed(bench: Bench) -> list[object]:
    """Run an order whose answer comes in parts."""
    return await bench.run(bench.make_order(1, "stream"))


async def draining(bench: Bench) -> list[object]:
    """Run an order at a sidecar that drains."""
    bench.coordinator.drain()
    return (await bench.run(bench.make_order(1)))[:1]


async def older_incarnation(bench: Bench) -> list[object]:
    """Run an order addressed to an earlier life of the sidecar."""
    order = bench.make_order(1, incarnation="0000")
    found = await bench.run(order)
    return [found[0], sum(bench.service.runs.values())]


async def answer_cut(bench: Bench) -> list[object]:
    """Run an order whose answer breaks off."""
    bench.service.faults.cut_answers = 1
    return await bench.run(bench.make_order(1, "stream"))


async def answer_lost(bench: Bench) -> list[object]:
    """Run an order that is not answered."""
    bench.service.faults.lose_answers = 1
    order = bench.make_order(1, repeatable=False, key="k")
    return (await bench.run(order))[:1]


async def upstream_down(bench: Bench) -> list[object]:
    """Run an order whose upstream refuses connections."""
    bench.service.faults.down = True
    return (await bench.run(bench.make_order(1)))[:1]


async def late_copy(bench: Bench) -> list[object]:
    """Settle an order that was not seen, then send it."""
    asked = await bench.link.settle(SettleOrder("r1", "app", "k"))
    found = await bench.run(bench.make_order(1, repeatable=False, key="k"))
    runs = sum(bench.service.runs.values())
    return [asked.unwrap().outcome.name, found[0], runs]


async def settle_answered(bench: Bench) -> list[object]:
    """Settle an order that was answered, by id and by key."""
    await bench.run(bench.make_order(1, repeatable=False, key="k"))
    by_id = await bench.link.settle(SettleOrder("r1"))
    by_key = await bench.link.settle(SettleOrder("r9", "app", "k"))
    return [by_id.unwrap().outcome.name, by_key.unwrap().outcome.name]


async def same_key(bench: Bench) -> list[object]:
    """Run two orders with one key, the second while the first runs."""
    bodies: list[object] = []

    async def run(number: int) -> None:
        order = bench.make_order(number, repeatable=False, key="k")
        bodies.append((await bench.run(order))[1])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, 1)
        await trio.sleep(0.005)
        nursery.start_soon(run, 2)
    return [bodies[0] == bodies[1], sum(bench.service.runs.values())]


async def leave_early(bench: Bench) -> list[object]:
    """Leave while an order runs; its place is free again."""
    bench.service.service_s = 5.0
    with trio.move_on_after(0.2):
        await bench.run(bench.make_order(1))
    await trio.sleep(0.2)
    return [bench.coordinator.scheduler.running, bench.service.running]


async def heartbeat(bench: Bench) -> list[object]:
    """Send heartbeats, one asking after an unknown request."""
    status = (await bench.link.send_control(Heartbeat("e", 0))).unwrap()
    asking = Heartbeat("e", 0, [], ["r7"])
    again = (await bench.link.send_control(asking)).unwrap()
    return [status.name, status.ready, again.progress[0].known]


async def pull_nothing(bench: Bench) -> list[object]:
    """Ask for a bundle where there is none."""
    return [(await bench.link.pull_bundle(0)).unwrap().envelopes]


ROWS: dict[str, Callable[[Bench], Awaitable[list[object]]]] = {
    "an order is answered": answered,
    "an order is answered in parts": streamed,
    "the sidecar drains": draining,
    "an order is for an older incarnation": older_incarnation,
    "an answer breaks off": answer_cut,
    "an answer is lost": answer_lost,
    "the upstream is down": upstream_down,
    "a late copy follows a settlement": late_copy,
    "an answered order is settled": settle_answered,
    "two orders share a key": same_key,
    "the entry leaves early": leave_early,
    "heartbeats are sent": heartbeat,
    "a bundle is pulled where there is none": pull_nothing,
}

ANSWERED = Answered.__name__
REFUSED = Refused.__name__
EXPECTED: dict[str, list[object]] = {
    "an order is answered": [ANSWERED, b"s x b"],
    "an order is answered in parts": [ANSWERED, b"s stream b"],
    "the sidecar drains": [REFUSED],
    "an order is for an older incarnation": [REFUSED, 0],
    "an answer breaks off": ["lost"],
    "an answer is lost": ["Failed"],
    "the upstream is down": [REFUSED],
    "a late copy follows a settlement": ["NOT_RUN", REFUSED, 0],
    "an answered order is settled": ["ANSWERED", "ANSWERED"],
    "two orders share a key": [True, 1],
    "the entry leaves early": [0, 0],
    "heartbeats are sent": ["plain-1", True, False],
    "a bundle is pulled where there is none": [[]],
}


def run_on_fake(row: str) -> list[object]:
    """Run a row on the fake, in virtual time."""

    async def work() -> list[object]:
        bench = Bench()
        host = SidecarHost("plain-1")
        async with trio.open_nursery() as nursery:
            await nursery.start(bench.coordinator.run_tasks)
            host.coordinator, host.nursery = bench.coordinator, nursery
            bench.link = MemoryLink(host)
            found = await ROWS[row](bench)
            nursery.cancel_scope.cancel()
        return found

    return run_virtual(work, 1, LIMIT_S)


def run_on_adapter(row: str) -> list[object]:
    """Run a row over loopback, on free ports."""

    async def work() -> list[object]:
        bench = Bench()
        data = HttpServer(SidecarHandler(bench.coordinator).handle)
        control = ControlHandler(bench.coordinator)
        async with (
            trio.open_nursery() as nursery,
            serve_loopback(data.handle_connection) as data_at,
            serve_loopback(control.handle_connection) as control_at,
        ):
            await nursery.start(bench.coordinator.run_tasks)
            bench.link = NetworkSidecarLink(data_at, control_at)
            found = await ROWS[row](bench)
            nursery.cancel_scope.cancel()
        return found

    return trio.run(work)
