"""Weight loads that keep the instances of a pool up to date."""

from collections.abc import Callable
from collections.abc import Sequence

from result import Err
import trio

from . import const
from ..pool_holders.models import Role
from ..ports.sampler import LoadOrder
from ..ports.sampler import LoadOrderOutcome
from ..ports.sampler import SamplerClient
from ..routing.instances import ListedInstance
from ..telemetry.containment import contain_errors
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .decisions import assign_models
from .decisions import choose_loads
from .decisions import ModelNeed
from .decisions import PlannedLoad
from .demand import DemandTracker


class VersionCoordinator:
    """Order instances to load weights while this gateway holds the pool.

    `held` has the newest version known by instance and model, `assigned` the
    model that each instance is kept up to date for.
    """

    def __init__(
        self,
        gateway: str,
        samplers: SamplerClient,
        is_leaving: Callable[[ListedInstance], bool],
        find_limit: Callable[[ListedInstance], float | None],
        read_boot_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._is_leaving = is_leaving
        self._find_limit = find_limit
        self._gateway = gateway
        self._samplers = samplers
        self._read_boot_s = read_boot_s
        self._metrics = metrics
        self.assigned: dict[str, str] = {}
        self.held: dict[tuple[str, str], int] = {}
        self.loading: dict[str, PlannedLoad] = {}
        self.demand = DemandTracker()
        self._incarnations: dict[str, int] = {}
        self._accepted_orders: dict[str, int] = {}

    def update_instances(
        self, instances: list[ListedInstance], models: Sequence[str]
    ) -> None:
        """Apply the listed instances and assign a model to each."""
        for instance in instances:
            name = instance.name
            if self._incarnations.get(name) != instance.started_ms:
                self._incarnations[name] = instance.started_ms
                self._accepted_orders.pop(name, None)
                for model, version in instance.versions.items():
                    self.held[name, model] = version
            for model, version in instance.versions.items():
                known = self.held.get((name, model), 0)
                self.held[name, model] = max(known, version)
        self._forget_others({instance.name for instance in instances})
        work_s = {
            model: self.demand.estimate_work_s(model) for model in models
        }
        self.assigned = assign_models(
            instances, work_s, self.assigned, self.held
        )

    def _forget_others(self, listed: set[str]) -> None:
        """Drop what is known of instances that are no longer listed."""
        for name in [
            name for name in self._incarnations if name not in listed
        ]:
            del self._incarnations[name]
            self._accepted_orders.pop(name, None)
            for key in [key for key in self.held if key[0] == name]:
                del self.held[key]

    def record_version(self, instance: str, model: str, version: int) -> None:
        """Record the version that an instance itself just reported."""
        self.held[instance, model] = version

    def find_version(self, instance: str, model: str) -> int:
        """Return the version known at an instance, the first when unknown."""
        return self.held.get((instance, model), const.FIRST_VERSION)

    def start_loads(
        self,
        role: Role,
        instances: dict[str, ListedInstance],
        needs: dict[str, ModelNeed],
        free: dict[str, int],
        nursery: trio.Nursery,
        on_done: Callable[[], None],
    ) -> None:
        """Start the loads that are due, if the lease is still valid.

        `free` counts the free slots of each instance; `on_done` is called
        after each load, even a failed one.
        """
        if not role.is_valid(self._read_boot_s()):
            return
        loading = {n: load.model for n, load in self.loading.items()}
        planned = choose_loads(self.assigned, self.held, needs, loading, free)
        for load in planned:
            instance = instances.get(load.instance)
            if instance is None:
                continue
            self.loading[load.instance] = load
            nursery.start_soon(self._run_load, role, instance, load, on_done)

    async def _run_load(
        self,
        role: Role,
        instance: ListedInstance,
        load: PlannedLoad,
        on_done: Callable[[], None],
    ) -> None:
        """Order one load and wait for it, within a time limit."""
        try:
            with (
                trio.move_on_after(const.LOAD_TIMEOUT_S),
                contain_errors("order", instance=instance.name),
            ):
                await self._order_and_wait(role, instance, load)
        finally:
            self.loading.pop(instance.name, None)
            on_done()

    async def _order_and_wait(
        self, role: Role, instance: ListedInstance, load: PlannedLoad
    ) -> None:
        """Send a load order, then follow the instance's reports."""
        if instance.name not in self._accepted_orders:
            await self._follow_reports(instance, order_accepted=False)
        order = LoadOrder(
            load.model,
            load.version,
            self._gateway,
            role.fence,
            self._accepted_orders[instance.name],
        )
        if not role.is_valid(self._read_boot_s()) or self._is_leaving(
            instance
        ):
            return
        outcome = await self._samplers.order_load(instance, order)
        self._metrics.count(f"orders_{outcome.value}")
        log_event(
            "load_ordered",
            instance=instance.name,
            model=load.model,
            version=load.version,
            fence=role.fence,
            accepted_orders=order.accepted_orders,
            reply=outcome.value,
        )
        match outcome:
            case LoadOrderOutcome.HOLDS:
                self.held[instance.name, load.model] = load.version
                return
            case LoadOrderOutcome.ACCEPTED:
                self._accepted_orders[instance.name] = (
                    order.accepted_orders + 1
                )
                await trio.sleep(const.REPORT_INITIAL_DELAY_S)
            case LoadOrderOutcome.FENCED | LoadOrderOutcome.REFUSED:
                await trio.sleep(const.ORDER_RETRY_DELAY_S)
                return
            case LoadOrderOutcome.CONFLICT | LoadOrderOutcome.UNKNOWN:
                await trio.sleep(const.ORDER_RETRY_DELAY_S)
        await self._follow_reports(
            instance, outcome is LoadOrderOutcome.ACCEPTED
        )

    async def _follow_reports(
        self, instance: ListedInstance, order_accepted: bool
    ) -> None:
        """Poll an instance until it is idle, and record what it holds.

        After an accepted order, reports from before it are skipped.
        """
        while True:
            fetched = await self._samplers.fetch_report(instance)
            if isinstance(fetched, Err):
                await trio.sleep(self._choose_report_interval_s(instance))
                continue
            report = fetched.ok_value
            known = self._accepted_orders.get(instance.name, 0)
            if report.accepted_orders < known and order_accepted:
                # The report is from before the order.
                await trio.sleep(self._choose_report_interval_s(instance))
                continue
            self._accepted_orders[instance.name] = report.accepted_orders
            for model, version in report.versions.items():
                self.held[instance.name, model] = version
            if not report.busy:
                return
            await trio.sleep(self._choose_report_interval_s(instance))

    def _choose_report_interval_s(self, instance: ListedInstance) -> float:
        """Return the time between two reports.

        An instance that named a limit sends them no faster than it takes
        calls.
        """
        limit_per_s = self._find_limit(instance)
        if limit_per_s is None:
            return const.REPORT_INTERVAL_S
        slowest_per_s = 1.0 / const.LOAD_TIMEOUT_S
        interval_s = 1.0 / max(limit_per_s, slowest_per_s)
        return max(const.REPORT_INTERVAL_S, interval_s)
