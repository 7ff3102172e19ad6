"""Case of a keyed retry after its instance left the list.

Guards against running a record twice because the departed instance took its
idempotency record with it.
"""

from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import MemoryFleet
from pistachiospar_standins.fakes.entry_fleet import run_virtual
import trio

from .bundles import make_bundle
from .calls import call_entry
from .calls import CALL_KINDS
from .calls import count_runs
from .calls import make_request

MAX_VIRTUAL_S = 300.0


def retry_after_loss(restart_entry: bool) -> int:
    """Run a keyed record, lose its instance, retry it by another entry.

    Return how often upstreams ran the record.
    """

    async def run_case() -> int:
        plan = FleetPlan(make_bundle(), 2, {"plain": 3, "engine": 1})
        fleet = MemoryFleet(plan)
        request = make_request(CALL_KINDS["keyed record"], "body-1", 4000)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await call_entry(fleet, "entry-1", request)
            owner = next(n for n, s in fleet.services.items() if s.runs)
            fleet.kill_sidecar(owner)
            del fleet.instances[owner]
            fleet.publish_instances()
            await trio.sleep(3.0)
            if restart_entry:
                fleet.kill_entry("entry-2")
                fleet.start_entry("entry-2")
                await trio.sleep(3.0)
            await call_entry(fleet, "entry-2", request)
            runs = count_runs(fleet)["body-1"]
            nursery.cancel_scope.cancel()
        return runs

    return run_virtual(run_case, 7, MAX_VIRTUAL_S)
