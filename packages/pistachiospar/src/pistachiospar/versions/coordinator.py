"""Support keeping the weights of a pool's instances up to date."""

from collections.abc import Callable
from collections.abc import Sequence

from result import Err
import trio

from . import const
from ..holding.models import Role
from ..ports.sampler import LoadOrder
from ..ports.sampler import LoadOrderOutcome
from ..ports.sampler import SamplerClient
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .decisions import assign_models
from .decisions import choose_loads
from .decisions import Load
from .decisions import ModelNeed
from .demand import DemandBook


class VersionCoordinator:
    """Order an instance at a time to load weights, as the pool's holder."""

    def __init__(
        self,
        gateway: str,
        samplers: SamplerClient,
        read_boot_time: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Begin with nothing known."""
        self._gateway = gateway
        self._samplers = samplers
        self._read_boot_time = read_boot_time
        self._metrics = metrics
        self.assigned: dict[str, str] = {}
        self.held: dict[tuple[str, str], int] = {}
        self.loading: dict[str, Load] = {}
        self.demand = DemandBook()
        self._lives: dict[str, int] = {}
        self._orders: dict[str, int] = {}

    def learn(
        self, instances: list[ListedInstance], models: Sequence[str]
    ) -> None:
        """Take over the listed instances; tells which model is whose."""
        for instance in instances:
            name = instance.name
            if self._lives.get(name) != instance.started_ms:
                self._lives[name] = instance.started_ms
                self._orders.pop(name, None)
                for model, version in instance.versions.items():
                    self.held[name, model] = version
            for model, version in instance.versions.items():
                known = self.held.get((name, model), 0)
                self.held[name, model] = max(known, version)
        self._forget({instance.name for instance in instances})
        weights = {model: self.demand.weigh(model) for model in models}
        self.assigned = assign_models(
            instances, weights, self.assigned, self.held
        )

    def _forget(self, kept: set[str]) -> None:
        """Forget the instances that are gone."""
        for name in [name for name in self._lives if name not in kept]:
            del self._lives[name]
            self._orders.pop(name, None)
            for key in [key for key in self.held if key[0] == name]:
                del self.held[key]

    def observe(self, instance: str, model: str, version: int) -> None:
        """Take the version that an instance itself just told."""
        self.held[instance, model] = version

    def find_version(self, instance: str, model: str) -> int:
        """Return the newest version known of a model at an instance."""
        return self.held.get((instance, model), const.FIRST_VERSION)

    def order_loads(
        self,
        role: Role,
        instances: dict[str, ListedInstance],
        needs: dict[str, ModelNeed],
        free: dict[str, int],
        nursery: trio.Nursery,
        done: Callable[[], None],
    ) -> None:
        """Start the loads that are due; only while the lease is held."""
        if not role.is_valid(self._read_boot_time()):
            return
        loading = {n: load.model for n, load in self.loading.items()}
        chosen = choose_loads(self.assigned, self.held, needs, loading, free)
        for load in chosen:
            instance = instances.get(load.instance)
            if instance is None:
                continue
            self.loading[load.instance] = load
            nursery.start_soon(self._load, role, instance, load, done)

    async def _load(
        self,
        role: Role,
        instance: ListedInstance,
        load: Load,
        done: Callable[[], None],
    ) -> None:
        """Order one load and wait until it is done."""
        try:
            with trio.move_on_after(const.LOAD_LIMIT_S):
                await self._order_and_wait(role, instance, load)
        finally:
            self.loading.pop(instance.name, None)
            done()

    async def _order_and_wait(
        self, role: Role, instance: ListedInstance, load: Load
    ) -> None:
        """Order a load; follow the reports until the version is held."""
        if instance.name not in self._orders:
            await self._follow(instance, accepted=False)
        order = LoadOrder(
            load.model,
            load.version,
            self._gateway,
            role.fence,
            self._orders[instance.name],
        )
        if not role.is_valid(self._read_boot_time()):
            return
        reply = await self._samplers.order_load(instance, order)
        self._metrics.count(f"orders_{reply.value}")
        log_event(
            "load_ordered",
            instance=instance.name,
            model=load.model,
            version=load.version,
            fence=role.fence,
            accepted_orders=order.accepted_orders,
            reply=reply.value,
        )
        match reply:
            case LoadOrderOutcome.HOLDS:
                self.held[instance.name, load.model] = load.version
                return
            case LoadOrderOutcome.ACCEPTED:
                self._orders[instance.name] = order.accepted_orders + 1
                await trio.sleep(const.REPORT_FIRST_S)
            case LoadOrderOutcome.FENCED | LoadOrderOutcome.REFUSED:
                await trio.sleep(const.ORDER_RETRY_S)
                return
            case LoadOrderOutcome.CONFLICT | LoadOrderOutcome.UNKNOWN:
                await trio.sleep(const.ORDER_RETRY_S)
        await self._follow(instance, reply is LoadOrderOutcome.ACCEPTED)

    async def _follow(self, instance: ListedInstance, accepted: bool) -> None:
        """Ask an instance until it is not busy; learn what it holds."""
        while True:
            report = await self._samplers.fetch_report(instance)
            if isinstance(report, Err):
                await trio.sleep(const.REPORT_S)
                continue
            told = report.ok_value
            known = self._orders.get(instance.name, 0)
            if told.accepted_orders < known and accepted:
                # The report is older than the order.
                await trio.sleep(const.REPORT_S)
                continue
            self._orders[instance.name] = told.accepted_orders
            for model, version in told.versions.items():
                self.held[instance.name, model] = version
            if not told.busy:
                return
            await trio.sleep(const.REPORT_S)
