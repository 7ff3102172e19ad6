"""Plan of a small fleet of gateways, and its running processes."""

from dataclasses import dataclass
from dataclasses import field

from pistachiospar.duties.models import DutySettings
from pistachiospar.gateway.coordinator import GatewayCoordinator
from pistachiospar.organisations.models import KeyRules
import trio

from .kv import KvFaultSet
from .kv import PolledFakeKeyValue


@dataclass(slots=True)
class RunningGateway:
    """One incarnation of a gateway.

    `suspended_s` is the time in seconds for which its machine was suspended:
    only the boot clock counts it. `requests` are the scopes of the requests
    that it serves, which end with it.
    """

    coordinator: GatewayCoordinator
    kv: PolledFakeKeyValue
    scope: trio.CancelScope
    suspended_s: float = 0.0
    requests: set[trio.CancelScope] = field(default_factory=set)


@dataclass(slots=True)
class GatewayPlan:
    """The size and settings of a small fleet of gateways.

    `samplers` and `apps` are the numbers of instances of the pool and of the
    plain upstream, whose instances queue `queue` calls. `tenants` has the
    organisations and their keys, if there are any. `lost_count_share` is the
    share of the lost replies to counts for the usage report. Submissions
    have a route if their path begins with `rollout_prefix`; it leads to
    `rollout_upstream`. `other_samplers` is the number of instances of a second
    pool, `pool_models` the models of each pool, those of the first by default.
    """

    gateways: int = 3
    samplers: int = 4
    apps: int = 2
    models: tuple[str, ...] = ("m0", "m1")
    slots: int = 4
    queue: int = 0
    seed: int = 0
    max_attempts: int = 3
    single_version: bool = False
    max_age_s: float = 40.0
    result_retention_s: float = 120.0
    resumable: bool = True
    rollout_prefix: str = "/rollout/"
    rollout_upstream: str = "pool"
    other_samplers: int = 0
    pool_models: dict[str, tuple[str, ...]] | None = None
    is_first_start: bool = False
    tenants: list[dict[str, object]] | None = None
    public_routes: tuple[str, ...] = ()
    key_rules: KeyRules = field(default_factory=KeyRules)
    duties: DutySettings | None = None
    require_fence: bool = True
    lost_count_share: float = 0.0
    faults: KvFaultSet = field(default_factory=KvFaultSet)
