"""Entries of other writers in the list of instances.

Guard: an entry that ended each gateway that made a call with it.
"""

import json

from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import ConnectError
from pistachiospar.platform.instances import read_instance
from pistachiospar.platform.samplers import PlatformSamplerClient
from pistachiospar.ports.sampler import LoadOrder
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.ports.upstream import UpstreamError
from pistachiospar.ports.upstream import UpstreamNotSentError
from pistachiospar.routing.instances import ListedInstance
from result import Ok
import trio

ENTRY: dict[str, object] = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
}
DEEP = b"[" * 100_000 + b"]" * 100_000
# Each entry's key and value.
ENTRIES: dict[str, tuple[str, bytes]] = {}


def _add(name: str, key: str = "servers/i-1", **fields: object) -> None:
    """Add an entry that differs from a valid one in some fields."""
    ENTRIES[name] = (key, json.dumps({**ENTRY, **fields}).encode())


_add("an address of characters that could not be read", address="\ufffd:80")
_add("an address with a label of 70 letters", address=f"{'a' * 70}:80")
_add("an address of dots", address="..:80")
_add("an address without host", address=":80")
_add("an address with a zero byte", address="10.0.0.1\0:80")
_add("an address without port", address="10.0.0.1")
_add("a port above the largest", address="10.0.0.1:65536")
_add("a negative port", address="10.0.0.1:-1")
_add("a port of other digits", address="10.0.0.1:\u0663")
_add("a port of 5000 digits", address="10.0.0.1:" + "9" * 5000)
_add("more slots than a float can count", slots=10**400)
_add("a start time of 31 digits", born=10**30)
_add(
    "a weight version of 31 digits", models=[{"name": "m", "version": 10**30}]
)
_add(
    "a model's name of a megabyte",
    models=[{"name": "m" * 10**6, "version": 1}],
)
_add("a software version of a megabyte", version="v" * 1_000_000)
_add("a name outside ASCII", key="servers/i-\u0101")
_add("a name with a line break", key="servers/i-1\r\nHost: x")
ENTRIES["a field that is nested too deeply"] = (
    "servers/i-1",
    json.dumps(ENTRY).encode()[:-1] + b',"more":' + DEEP + b"}",
)


def use_entry(name: str) -> str:
    """Return "unreadable", or what became of calls to a readable entry.

    Raises what would end a gateway.
    """
    read = read_instance(*ENTRIES[name])
    if not isinstance(read, Ok):
        return "unreadable"
    return trio.run(_make_calls, read.ok_value)


async def _make_calls(instance: ListedInstance) -> str:
    """Make each kind of call to an instance; return "called"."""
    samplers = PlatformSamplerClient()
    await samplers.fetch_report(instance)
    await samplers.order_load(instance, LoadOrder("m", 2, "g", 1, 0))
    await samplers.check_process(instance)
    call = SamplerCall("c1", "POST", "/", [("Host", "h")], b"", 0.5)
    try:
        async with samplers.call(instance, call):
            pass
    except (UpstreamError, UpstreamNotSentError):
        pass
    return "called"


def connect(host: str, port: int) -> str:
    """Return "not connected" if a connection fails as it should."""

    async def fetch() -> str:
        try:
            await HttpPool(Address(host, port)).fetch("GET", "/")
        except ConnectError:
            return "not connected"
        return "connected"

    return trio.run(fetch)
