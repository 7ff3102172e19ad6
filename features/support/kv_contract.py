"""Support the contract of the key-value port: fake and adapter alike."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Protocol

from pistachiospar.adapters.etcd.client import EtcdKeyValue
from pistachiospar.adapters.http.client import Address
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.platform.store import PlatformKeyValue
from pistachiospar.ports.kv import KeyValue
from pistachiospar.ports.kv import KvCheck
from pistachiospar.ports.kv import KvPut
from pistachiospar.ports.kv import KvTransaction
from pistachiospar_standins.fakes.fleet import run_virtual
from pistachiospar_standins.fakes.kv import FakeKeyValue
from pistachiospar_standins.fakes.kv import KvFaultSet
from pistachiospar_standins.kv.server import KvHandler
from pistachiospar_standins.kv.server import KvSettings
from pistachiospar_standins.kv.store import Store
from pistachiospar_standins.platform.store import PlatformStoreHandler
from result import Err
import trio

LIMIT_S = 60.0


class Faults(Protocol):
    """Describe the faults that fake and stand-in share."""

    down: bool
    lose_reply_every: int
    silent_watch: bool


class Bench:
    """Hold a key-value service to be tested, and its content."""

    def __init__(self, kv: KeyValue, store: Store, faults: Faults) -> None:
        """Take the service."""
        self.kv = kv
        self.store = store
        self.faults = faults


async def read_after_write(bench: Bench) -> list[object]:
    """Write, read, list."""
    await bench.kv.put_item("/a/1", b"one")
    await bench.kv.put_item("/a/2", b"two")
    await bench.kv.put_item("/b/1", b"other")
    one = (await bench.kv.get_item("/a/1")).unwrap()
    none = (await bench.kv.get_item("/a/9")).unwrap()
    items, _ = (await bench.kv.list_items("/a/")).unwrap()
    return [one.value if one else None, none, [i.key for i in items]]


async def newest_revision(bench: Bench) -> list[object]:
    """Ask for the newest revision below a prefix."""
    none = (await bench.kv.find_newest_revision("/n/")).unwrap()
    await bench.kv.put_item("/n/1", b"a")
    first = (await bench.kv.find_newest_revision("/n/")).unwrap()
    await bench.kv.put_item("/other", b"b")
    same = (await bench.kv.find_newest_revision("/n/")).unwrap()
    await bench.kv.put_item("/n/0", b"c")
    newer = (await bench.kv.find_newest_revision("/n/")).unwrap()
    return [none, same == first, newer > first]


async def compare_and_swap(bench: Bench) -> list[object]:
    """Create, create again, swap, swap on an old revision."""
    first = (await bench.kv.compare_and_swap("/k", b"1", 0)).unwrap()
    again = (await bench.kv.compare_and_swap("/k", b"2", 0)).unwrap()
    item = (await bench.kv.get_item("/k")).unwrap()
    revision = item.revision if item else 0
    also = [KvPut("/log/1", b"x")]
    swap = (
        await bench.kv.compare_and_swap("/k", b"3", revision, extra_puts=also)
    ).unwrap()
    old = (await bench.kv.compare_and_swap("/k", b"4", revision)).unwrap()
    log = (await bench.kv.get_item("/log/1")).unwrap()
    return [first.won, again.won, swap.won, old.won, log is not None]


async def lost_reply(bench: Bench) -> list[object]:
    """Lose the reply of a write that takes effect."""
    bench.faults.lose_reply_every = 1
    written = await bench.kv.compare_and_swap("/k", b"1", 0)
    fault = written.err_value.fault if isinstance(written, Err) else None
    bench.faults.lose_reply_every = 0
    item = (await bench.kv.get_item("/k")).unwrap()
    return [fault.value if fault else None, item.value if item else None]


async def down(bench: Bench) -> list[object]:
    """Call a service that is down, then one that is back."""
    bench.faults.down = True
    read = await bench.kv.get_item("/k")
    write = await bench.kv.put_item("/k", b"1")
    bench.faults.down = False
    again = await bench.kv.put_item("/k", b"2")
    return [read.is_err(), write.is_err(), again.is_ok()]


async def lease_lapses(bench: Bench) -> list[object]:
    """Hold a lease, let it lapse, write under it."""
    lease = (await bench.kv.grant_lease(1)).unwrap()
    await bench.kv.put_item("/l", b"mine", lease)
    held = (await bench.kv.get_item("/l")).unwrap()
    kept = (await bench.kv.renew_lease(lease)).unwrap()
    await trio.sleep(1.6)
    gone = (await bench.kv.get_item("/l")).unwrap()
    lapsed = (await bench.kv.renew_lease(lease)).unwrap()
    late = await bench.kv.put_item("/l", b"late", lease)
    return [held is not None, kept > 0, gone, lapsed, late.is_err()]


async def lease_revoked(bench: Bench) -> list[object]:
    """Give a lease back; its key goes with it."""
    lease = (await bench.kv.grant_lease(60)).unwrap()
    await bench.kv.put_item("/l", b"mine", lease)
    await bench.kv.revoke_lease(lease)
    return [(await bench.kv.get_item("/l")).unwrap()]


async def watch_changes(bench: Bench) -> list[object]:
    """Watch writes and a deletion from a revision on."""
    _, revision = (await bench.kv.list_items("/w/")).unwrap()
    lease = (await bench.kv.grant_lease(60)).unwrap()
    await bench.kv.put_item("/w/1", b"a")
    await bench.kv.put_item("/x/1", b"not watched")
    await bench.kv.put_item("/w/2", b"b", lease)
    await bench.kv.revoke_lease(lease)
    seen: list[object] = []
    async for events in bench.kv.watch("/w/", revision + 1):
        for event in events.unwrap():
            seen.append((event.key, event.value))
        if len(seen) >= 3:
            break
    return seen


async def watch_ends_when_down(bench: Bench) -> list[object]:
    """Watch a service that goes down."""
    seen: list[object] = []
    async for events in bench.kv.watch("/w/", 1):
        seen.append("lost" if events.is_err() else "told")
        bench.faults.down = True
    return [seen[0], seen[-1]]


async def transaction(bench: Bench) -> list[object]:
    """Write and remove under two checks; then again, with one stale."""
    await bench.kv.put_item("/t/old", b"1")
    old = (await bench.kv.get_item("/t/old")).unwrap()
    revision = old.revision if old else 0
    asked = KvTransaction(
        (KvCheck("/t/old", revision), KvCheck("/t/new", 0)),
        (KvPut("/t/new", b"2"),),
        ("/t/old",),
    )
    first = (await bench.kv.commit(asked)).unwrap()
    again = (await bench.kv.commit(asked)).unwrap()
    items, _ = (await bench.kv.list_items("/t/")).unwrap()
    return [first.won, again.won, [(i.key, i.value) for i in items]]


async def transaction_without_lease(bench: Bench) -> list[object]:
    """Write under a lease that is gone: nothing happens."""
    lease = (await bench.kv.grant_lease(60)).unwrap()
    await bench.kv.revoke_lease(lease)
    puts = (KvPut("/t/a", b"1"), KvPut("/t/b", b"2", lease))
    written = await bench.kv.commit(KvTransaction((), puts))
    items, _ = (await bench.kv.list_items("/t/")).unwrap()
    return [written.is_err(), items]


async def many_items(bench: Bench) -> list[object]:
    """List more items than a page holds."""
    for number in range(8):
        await bench.kv.put_item(f"/m/{number}", b"x")
    items, _ = (await bench.kv.list_items("/m/")).unwrap()
    return [[item.key for item in items]]


ROWS: dict[str, Callable[[Bench], Awaitable[list[object]]]] = {
    "read after write": read_after_write,
    "the newest revision": newest_revision,
    "compare and swap": compare_and_swap,
    "a reply lost after the write": lost_reply,
    "the service is down": down,
    "a lease lapses": lease_lapses,
    "a lease is given back": lease_revoked,
    "a watch sees changes": watch_changes,
    "a watch ends when the service is down": watch_ends_when_down,
    "a transaction with two checks": transaction,
    "a transaction without its lease": transaction_without_lease,
    "more items than a page": many_items,
}

EXPECTED: dict[str, list[object]] = {
    "read after write": [b"one", None, ["/a/1", "/a/2"]],
    "the newest revision": [0, True, True],
    "compare and swap": [True, False, True, False, True],
    "a reply lost after the write": ["unknown", b"1"],
    "the service is down": [True, True, True],
    "a lease lapses": [True, True, None, 0.0, True],
    "a lease is given back": [None],
    "a watch sees changes": [("/w/1", b"a"), ("/w/2", b"b"), ("/w/2", None)],
    "a watch ends when the service is down": ["told", "lost"],
    "a transaction with two checks": [True, False, [("/t/new", b"2")]],
    "a transaction without its lease": [True, []],
    "more items than a page": [[f"/m/{number}" for number in range(8)]],
}


def run_on_fake(row: str) -> list[object]:
    """Run a row on the fake, in virtual time."""

    async def work() -> list[object]:
        store, faults = Store(), KvFaultSet()
        return await ROWS[row](
            Bench(FakeKeyValue(store, faults), store, faults)
        )

    return run_virtual(work, 1, LIMIT_S)


def run_on_adapter(row: str) -> list[object]:
    """Run a row on the adapter and the stand-in, over loopback."""

    async def work() -> list[object]:
        handler = KvHandler(KvSettings())
        server = HttpServer(handler.handle)
        async with serve_loopback(server.handle_connection) as address:
            bench = Bench(EtcdKeyValue(address), handler.store, handler.faults)
            return await ROWS[row](bench)

    return trio.run(work)


def run_on_platform(row: str) -> list[object]:
    """Run a row on the platform's adapter and stand-in, over loopback."""

    async def work() -> list[object]:
        handler = PlatformStoreHandler()
        server = HttpServer(handler.handle)
        async with serve_loopback(server.handle_connection) as address:
            kv = PlatformKeyValue(address)
            return await ROWS[row](Bench(kv, handler.store, handler.faults))

    return trio.run(work)


async def find_compaction() -> list[object]:
    """Watch from a revision whose history the platform's store dropped."""
    handler = PlatformStoreHandler()
    server = HttpServer(handler.handle)
    async with serve_loopback(server.handle_connection) as address:
        kv = PlatformKeyValue(address)
        _, revision = (await kv.list_items("/w/")).unwrap()
        await kv.put_item("/w/1", b"a")
        handler.store.forget_history()
        polled = await kv.poll("/w/", revision)
        items, newest = (await kv.list_items("/w/")).unwrap()
        return [polled.is_err(), len(items), newest > revision]


@asynccontextmanager
async def serve_loopback(
    handle: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[Address]:
    """Serve on a free port of loopback."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = int(listeners[0].socket.getsockname()[1])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        yield Address("127.0.0.1", port)
        nursery.cancel_scope.cancel()
