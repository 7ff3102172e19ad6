"""Contract of the key-value port, for the fake and the adapters."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Protocol

from pistachiospar.adapters.etcd.client import EtcdKeyValue
from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.platform.store import PlatformKeyValue
from pistachiospar.ports.kv import KeyValue
from pistachiospar.ports.kv import KvCheck
from pistachiospar.ports.kv import KvPut
from pistachiospar.ports.kv import KvTransaction
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.kv import FakeKeyValue
from pistachiospar_standins.fakes.kv import KvFaultSet
from pistachiospar_standins.kv.server import KvHandler
from pistachiospar_standins.kv.server import KvSettings
from pistachiospar_standins.kv.store import Store
from pistachiospar_standins.platform.store import PlatformStoreHandler
from result import Err
import trio

MAX_VIRTUAL_S = 60.0


class SharedFaults(Protocol):
    """The faults that the fake and the stand-ins have in common."""

    down: bool
    lose_reply_every: int
    silent_watch: bool


class KeyValueSubject:
    """A key-value client under test, its store and its faults."""

    def __init__(
        self, kv: KeyValue, store: Store, faults: SharedFaults
    ) -> None:
        """Use a client over a store."""
        self.kv = kv
        self.store = store
        self.faults = faults


async def read_after_write(subject: KeyValueSubject) -> list[object]:
    """Write, read and list items."""
    await subject.kv.put_item("/a/1", b"one")
    await subject.kv.put_item("/a/2", b"two")
    await subject.kv.put_item("/b/1", b"other")
    one = (await subject.kv.get_item("/a/1")).unwrap()
    none = (await subject.kv.get_item("/a/9")).unwrap()
    items, _ = (await subject.kv.list_items("/a/")).unwrap()
    return [one.value if one else None, none, [i.key for i in items]]


async def read_newest_revision(subject: KeyValueSubject) -> list[object]:
    """Read the newest revision under a prefix after several writes."""
    none = (await subject.kv.find_newest_revision("/n/")).unwrap()
    await subject.kv.put_item("/n/1", b"a")
    first = (await subject.kv.find_newest_revision("/n/")).unwrap()
    await subject.kv.put_item("/other", b"b")
    same = (await subject.kv.find_newest_revision("/n/")).unwrap()
    await subject.kv.put_item("/n/0", b"c")
    newer = (await subject.kv.find_newest_revision("/n/")).unwrap()
    return [none, same == first, newer > first]


async def swap_values(subject: KeyValueSubject) -> list[object]:
    """Create a key twice, swap it, then swap it at an old revision."""
    first = (await subject.kv.compare_and_swap("/k", b"1", 0)).unwrap()
    again = (await subject.kv.compare_and_swap("/k", b"2", 0)).unwrap()
    item = (await subject.kv.get_item("/k")).unwrap()
    revision = item.revision if item else 0
    extra_puts = [KvPut("/log/1", b"x")]
    swap = (
        await subject.kv.compare_and_swap(
            "/k", b"3", revision, extra_puts=extra_puts
        )
    ).unwrap()
    old = (await subject.kv.compare_and_swap("/k", b"4", revision)).unwrap()
    log = (await subject.kv.get_item("/log/1")).unwrap()
    return [first.won, again.won, swap.won, old.won, log is not None]


async def lose_reply(subject: KeyValueSubject) -> list[object]:
    """Lose the reply to a write that took effect."""
    subject.faults.lose_reply_every = 1
    written = await subject.kv.compare_and_swap("/k", b"1", 0)
    fault = written.err_value.fault if isinstance(written, Err) else None
    subject.faults.lose_reply_every = 0
    item = (await subject.kv.get_item("/k")).unwrap()
    return [fault.value if fault else None, item.value if item else None]


async def call_when_down(subject: KeyValueSubject) -> list[object]:
    """Call the service while it is down and after it is back."""
    subject.faults.down = True
    read = await subject.kv.get_item("/k")
    write = await subject.kv.put_item("/k", b"1")
    subject.faults.down = False
    again = await subject.kv.put_item("/k", b"2")
    return [read.is_err(), write.is_err(), again.is_ok()]


async def expire_lease(subject: KeyValueSubject) -> list[object]:
    """Renew a lease, let it expire, then renew it and write under it."""
    lease = (await subject.kv.grant_lease(1)).unwrap()
    await subject.kv.put_item("/l", b"mine", lease)
    held = (await subject.kv.get_item("/l")).unwrap()
    renewed = (await subject.kv.renew_lease(lease)).unwrap()
    await trio.sleep(1.6)
    after_expiry = (await subject.kv.get_item("/l")).unwrap()
    expired = (await subject.kv.renew_lease(lease)).unwrap()
    late = await subject.kv.put_item("/l", b"late", lease)
    return [
        held is not None,
        renewed > 0,
        after_expiry,
        expired,
        late.is_err(),
    ]


async def revoke_held_lease(subject: KeyValueSubject) -> list[object]:
    """Revoke a lease, which removes its key."""
    lease = (await subject.kv.grant_lease(60)).unwrap()
    await subject.kv.put_item("/l", b"mine", lease)
    await subject.kv.revoke_lease(lease)
    return [(await subject.kv.get_item("/l")).unwrap()]


async def watch_changes(subject: KeyValueSubject) -> list[object]:
    """Watch writes and a deletion from a revision on."""
    _, revision = (await subject.kv.list_items("/w/")).unwrap()
    lease = (await subject.kv.grant_lease(60)).unwrap()
    await subject.kv.put_item("/w/1", b"a")
    await subject.kv.put_item("/x/1", b"not watched")
    await subject.kv.put_item("/w/2", b"b", lease)
    await subject.kv.revoke_lease(lease)
    seen: list[object] = []
    async for events in subject.kv.watch("/w/", revision + 1):
        for event in events.unwrap():
            seen.append((event.key, event.value))
        if len(seen) >= 3:
            break
    return seen


async def watch_until_down(subject: KeyValueSubject) -> list[object]:
    """Watch a service until it goes down."""
    seen: list[object] = []
    async for events in subject.kv.watch("/w/", 1):
        seen.append("lost" if events.is_err() else "delivered")
        subject.faults.down = True
    return [seen[0], seen[-1]]


async def commit_transaction(subject: KeyValueSubject) -> list[object]:
    """Write and remove under two checks; then again, with one stale."""
    await subject.kv.put_item("/t/old", b"1")
    old = (await subject.kv.get_item("/t/old")).unwrap()
    revision = old.revision if old else 0
    requested = KvTransaction(
        (KvCheck("/t/old", revision), KvCheck("/t/new", 0)),
        (KvPut("/t/new", b"2"),),
        ("/t/old",),
    )
    first = (await subject.kv.commit(requested)).unwrap()
    again = (await subject.kv.commit(requested)).unwrap()
    items, _ = (await subject.kv.list_items("/t/")).unwrap()
    return [first.won, again.won, [(i.key, i.value) for i in items]]


async def commit_without_lease(subject: KeyValueSubject) -> list[object]:
    """Write under a revoked lease, which must write nothing."""
    lease = (await subject.kv.grant_lease(60)).unwrap()
    await subject.kv.revoke_lease(lease)
    puts = (KvPut("/t/a", b"1"), KvPut("/t/b", b"2", lease))
    written = await subject.kv.commit(KvTransaction((), puts))
    items, _ = (await subject.kv.list_items("/t/")).unwrap()
    return [written.is_err(), items]


async def list_many_items(subject: KeyValueSubject) -> list[object]:
    """List more items than fit on one page."""
    for number in range(8):
        await subject.kv.put_item(f"/m/{number}", b"x")
    items, _ = (await subject.kv.list_items("/m/")).unwrap()
    return [[item.key for item in items]]


CASES: dict[str, Callable[[KeyValueSubject], Awaitable[list[object]]]] = {
    "read after write": read_after_write,
    "the newest revision": read_newest_revision,
    "compare and swap": swap_values,
    "a reply lost after the write": lose_reply,
    "the service is down": call_when_down,
    "a lease expires": expire_lease,
    "a lease is revoked": revoke_held_lease,
    "a watch sees changes": watch_changes,
    "a watch ends when the service is down": watch_until_down,
    "a transaction with two checks": commit_transaction,
    "a transaction without its lease": commit_without_lease,
    "more items than fit a page": list_many_items,
}

EXPECTED_RESULTS: dict[str, list[object]] = {
    "read after write": [b"one", None, ["/a/1", "/a/2"]],
    "the newest revision": [0, True, True],
    "compare and swap": [True, False, True, False, True],
    "a reply lost after the write": ["unknown", b"1"],
    "the service is down": [True, True, True],
    "a lease expires": [True, True, None, 0.0, True],
    "a lease is revoked": [None],
    "a watch sees changes": [("/w/1", b"a"), ("/w/2", b"b"), ("/w/2", None)],
    "a watch ends when the service is down": ["delivered", "lost"],
    "a transaction with two checks": [True, False, [("/t/new", b"2")]],
    "a transaction without its lease": [True, []],
    "more items than fit a page": [[f"/m/{number}" for number in range(8)]],
}


def run_on_fake(case_name: str) -> list[object]:
    """Run a case on the fake, in virtual time."""

    async def run_case() -> list[object]:
        store, faults = Store(), KvFaultSet()
        return await CASES[case_name](
            KeyValueSubject(FakeKeyValue(store, faults), store, faults)
        )

    return run_virtual(run_case, 1, MAX_VIRTUAL_S)


def run_on_adapter(case_name: str) -> list[object]:
    """Run a case on the etcd adapter and its stand-in, over loopback."""

    async def run_case() -> list[object]:
        handler = KvHandler(KvSettings())
        server = HttpServer(handler.handle)
        async with serve_loopback(server.handle_connection) as address:
            subject = KeyValueSubject(
                EtcdKeyValue(address), handler.store, handler.faults
            )
            return await CASES[case_name](subject)

    return trio.run(run_case)


def run_on_platform(case_name: str) -> list[object]:
    """Run a case on the platform's adapter and stand-in, over loopback."""

    async def run_case() -> list[object]:
        handler = PlatformStoreHandler()
        server = HttpServer(handler.handle)
        async with serve_loopback(server.handle_connection) as address:
            kv = PlatformKeyValue(address)
            return await CASES[case_name](
                KeyValueSubject(kv, handler.store, handler.faults)
            )

    return trio.run(run_case)


async def watch_compacted_history() -> list[object]:
    """Poll from a revision that the platform's store compacted away."""
    handler = PlatformStoreHandler()
    server = HttpServer(handler.handle)
    async with serve_loopback(server.handle_connection) as address:
        kv = PlatformKeyValue(address)
        _, revision = (await kv.list_items("/w/")).unwrap()
        await kv.put_item("/w/1", b"a")
        handler.store.compact()
        polled = await kv.poll("/w/", revision)
        items, newest = (await kv.list_items("/w/")).unwrap()
        return [polled.is_err(), len(items), newest > revision]


@asynccontextmanager
async def serve_loopback(
    handle: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[Address]:
    """Serve connections on a free loopback port; yield its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = int(listeners[0].socket.getsockname()[1])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        yield Address("127.0.0.1", port)
        nursery.cancel_scope.cancel()
