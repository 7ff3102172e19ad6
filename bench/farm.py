"""Farm of many small sidecars and the platform's stand-ins in one process.

    python -m bench.farm --sidecars 64 --first-port 12000

The first port serves the key-value service, the next the instance list.
"""

import argparse
from random import Random

from pistachiospar.adapters.etcd.client import EtcdKeyValue
from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.adapters.sidecar_link.server import serve_control
from pistachiospar.adapters.sidecar_link.server import SidecarHandler
from pistachiospar.bundle.coordinator import BundleKeeper
from pistachiospar.bundle.models import Bundle
from pistachiospar.bundle.rolling import BundleRoller
from pistachiospar.ports.instances import Instance
from pistachiospar.process.listening import serve_http
from pistachiospar.sidecar.coordinator import SidecarCoordinator
from pistachiospar.sidecar.scheduler import SlotScheduler
from pistachiospar_standins.fakes.entry_fleet import list_public_keys
from pistachiospar_standins.fakes.entry_fleet import make_private_keys
from pistachiospar_standins.fakes.upstreams import FakeService
from pistachiospar_standins.instances.server import InstancesHandler
from pistachiospar_standins.instances.server import InstancesSettings
from pistachiospar_standins.kv.server import KvHandler
from pistachiospar_standins.kv.server import KvSettings
import trio

from .fleets import make_bundle
from .fleets import PLANS

HOST = "127.0.0.1"
UPSTREAM = "lampu-app"


def list_partners() -> list[str]:
    """Return the names of the partners in the lv-riga bundle."""
    return [str(p["name"]) for p in PLANS["lv-riga"].bundle["partners"]]


async def run_sidecar(number: int, first_port: int) -> None:
    """Run one sidecar over a service that responds without delay."""
    name = f"{UPSTREAM}-{number}"
    coordinator = SidecarCoordinator(
        name=name,
        upstream_name=UPSTREAM,
        upstream=FakeService(name, 0.0),
        engine=None,
        keeper=BundleKeeper(list_public_keys(list_partners())),
        scheduler=SlotScheduler(64, 512),
        rng=Random(number),
        now=trio.current_time(),
    )
    server = HttpServer(SidecarHandler(coordinator).handle)
    instance = make_instance(number, first_port)
    data_port = int(instance.data.rpartition(":")[2])
    async with trio.open_nursery() as nursery:
        await nursery.start(coordinator.run_tasks)
        await nursery.start(serve_http, server, Address(HOST, data_port))
        await nursery.start(
            serve_control, coordinator, Address(HOST, data_port + 1)
        )


def make_instance(number: int, first_port: int) -> Instance:
    """Return a sidecar's list entry, with a pair of ports of its own."""
    port = first_port + 2 + 2 * number
    return Instance(
        f"{UPSTREAM}-{number}",
        UPSTREAM,
        "riga-a",
        f"{HOST}:{port}",
        f"{HOST}:{port + 1}",
    )


async def roll_bundle(bundle: Bundle, address: Address) -> None:
    """Propose, sign and roll the first bundle."""
    roller = BundleRoller(EtcdKeyValue(address), Random(1))
    release = (await roller.propose(bundle)).unwrap()
    for partner, key in make_private_keys(list_partners()).items():
        await roller.sign(release.compute_digest(), partner, key)
    await roller.roll(
        release.compute_digest(), 0.0, trio.current_time() + 10.0
    )


async def run_farm(sidecars: int, first_port: int) -> None:
    """Run the sidecars and the platform until killed."""
    instances = [make_instance(n, first_port) for n in range(sidecars)]
    instance_list = InstancesHandler(InstancesSettings(instances))
    key_value = KvHandler(KvSettings())
    async with trio.open_nursery() as nursery:
        for number in range(sidecars):
            nursery.start_soon(run_sidecar, number, first_port)
        await nursery.start(
            serve_http, HttpServer(key_value.handle), Address(HOST, first_port)
        )
        await nursery.start(
            serve_http,
            HttpServer(instance_list.handle),
            Address(HOST, first_port + 1),
        )
        await roll_bundle(
            make_bundle(PLANS["lv-riga"]), Address(HOST, first_port)
        )


def main() -> None:
    """Run a farm of the size and ports given on the command line."""
    parser = argparse.ArgumentParser(prog="bench.farm")
    parser.add_argument("--sidecars", type=int, default=8)
    parser.add_argument("--first-port", type=int, default=12000)
    options = parser.parse_args()
    trio.run(run_farm, options.sidecars, options.first_port)


if __name__ == "__main__":
    main()
