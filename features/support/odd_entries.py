"""Odd entries of another writer, and odd numbers of a sampler.

Guard: machines that read the list ended again and again, or stopped
following it; a number of a sampler that ended the pool's holder (own ends,
LOST).
"""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import time

import msgspec
from pistachiospar.platform import const
from pistachiospar.submissions.archive import Archive
from pistachiospar.submissions.keys import make_results_prefix
from pistachiospar.submissions.models import OwnerRecord
from pistachiospar.telemetry.containment import contained_errors
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.fakes.kv import KvFaultSet
from pistachiospar_standins.fakes.kv import PolledFakeKeyValue
import trio

from .histories import make_history
from .relay_harness import POOL
from .relay_harness import receive_head
from .relay_harness import RelayGateway
from .relay_harness import ROLLOUT
from .relay_harness import run_gateway
from .relay_harness import SAFE
from .relay_harness import send

DEPTH = 100_000
ENTRY = {
    "service": '"pool"',
    "address": '"127.0.0.1:1"',
    "zone": '"zone"',
    "version": '"v1"',
    "slots": "8",
    "state": '"ready"',
    "born": "1",
    "models": '[{"name": "m", "version": 1}]',
    "coldLeftMs": "0",
    "sequence": "1",
    "more": "null",
}
# JSON texts in place of a field's value.
VALUES = {
    "lists nested too deeply": "[" * DEPTH + "]" * DEPTH,
    "objects nested too deeply": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "a number of 31 digits": "1" + "0" * 30,
    "a number of 5000 digits": "9" * 5000,
    "a negative number of 31 digits": "-1" + "0" * 30,
    "a number above any double": "1e999",
    "a model's version of 31 digits": (
        '[{"name": "m", "version": 1%s}]' % ("0" * 30)
    ),
    "a port above the largest": '"127.0.0.1:65536"',
    "a port of 400 digits": '"127.0.0.1:%s"' % ("9" * 400),
    "a negative port": '"127.0.0.1:-1"',
    "a text of a megabyte": json.dumps("x" * 1_000_000),
    "a lone surrogate": '"\\ud800"',
}


def make_entries(value: str) -> dict[str, bytes]:
    """Return an entry for each field that has the value instead."""
    entries: dict[str, bytes] = {}
    for field in ENTRY:
        changed = {**ENTRY, field: VALUES[value]}
        text = ", ".join(f'"{name}": {v}' for name, v in changed.items())
        entries[f"odd-{field}"] = f"{{{text}}}".encode()
    entries["odd-all"] = VALUES[value].encode()
    return entries


async def _answer(stream: trio.SocketStream, version: str) -> None:
    """Stream an event to each item, of a weight version; answer the rest."""
    async with stream:
        while (headers := await receive_head(stream)) is not None:
            call_id = headers["request-id"]
            body, more = "ok", ""
            if call_id.startswith("step"):
                body = "id: 1\ndata: a\n\n"
                more = f"Weight-Versions: {version}\r\n"
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {call_id}\r\n"
                f"Response-Stamp: s\r\n{more}"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            await stream.send_all((head + body).encode())


async def _serve(stream: trio.SocketStream) -> None:
    """Be a sound sampler."""
    await _answer(stream, "1")


async def _store_submission(gateway: RelayGateway, name: str) -> None:
    """Store a submission of three items, as a gateway accepts it."""
    submission = make_history(name, 3, "m").submission
    items = [
        msgspec.structs.replace(item, path=ROLLOUT + "x", scorer=None)
        for item in submission.items
    ]
    submission = msgspec.structs.replace(
        submission, path=ROLLOUT + "x", items=items, arrived_s=time.time()
    )
    kv = PolledFakeKeyValue(gateway.fleet.store, KvFaultSet())
    archive = Archive(kv, 1_000_000, Metrics())
    stored = await archive.store_submission(submission, OwnerRecord(POOL, 1))
    assert stored.is_ok(), stored


async def _check_calls(gateway: RelayGateway) -> list[str]:
    """Return the calls that are not served."""
    lost: list[str] = []
    for number in range(8):
        got = await send(gateway, SAFE, f"c{number}")
        if got.status != 200:
            lost.append(f"c{number}: {got.status} {got.body[:200]!r}")
    return lost


def _count_results(gateway: RelayGateway, name: str) -> int:
    """Return how many keys of results a submission has."""
    prefix = make_results_prefix(name)
    return sum(key.startswith(prefix) for key in gateway.fleet.store.items)


def run_contained(work: Callable[[], Awaitable[list[str]]]) -> list[str]:
    """Return the problems, and how many errors nobody foresaw."""
    before = contained_errors.total()
    problems: list[str] = trio.run(work)
    if contained_errors.total() != before:
        count = contained_errors.total() - before
        problems.append(f"{count} unforeseen errors")
    return problems


def list_beside(value: str) -> list[str]:
    """List odd entries, then replace the only sampler; return problems."""

    async def work() -> list[str]:
        async with run_gateway([_serve, _serve]) as gateway:
            store = gateway.fleet.store
            prefix = const.PREFIX_INSTANCES
            later = store.items[prefix + "s1"].value
            store.delete(prefix + "s1")
            await trio.sleep(1.0)
            for name, entry in make_entries(value).items():
                store.write(prefix + name, entry, 0, trio.current_time())
            # The holder of the pool meets them too.
            await _store_submission(gateway, "step1")
            await trio.sleep(1.0)
            problems = await _check_calls(gateway)
            store.write(prefix + "s1", later, 0, trio.current_time())
            store.delete(prefix + "s0")
            await trio.sleep(1.5)
            await _store_submission(gateway, "step2")
            problems += await _check_calls(gateway)
            await trio.sleep(2.0)
            if not _count_results(gateway, "step2"):
                problems.append("no result of the later step")
            return problems

    return run_contained(work)


def stream_version(version: str) -> list[str]:
    """Have one of two samplers name an odd weight version."""

    async def answer(stream: trio.SocketStream) -> None:
        await _answer(stream, version)

    async def work() -> list[str]:
        async with run_gateway([answer, _serve]) as gateway:
            await trio.sleep(1.0)
            for number in range(4):
                await _store_submission(gateway, f"step{number}")
            await trio.sleep(4.0)
            problems = await _check_calls(gateway)
            for number in range(4):
                if not _count_results(gateway, f"step{number}"):
                    problems.append(f"no result of step {number}")
            return problems

    return run_contained(work)
