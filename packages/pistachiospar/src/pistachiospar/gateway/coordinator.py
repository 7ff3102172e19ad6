"""Wiring of a gateway's parts, independent of adapters."""

from random import Random
from secrets import token_hex
from typing import Protocol

import trio

from ..admission.coordinator import CallAdmission
from . import const
from ..crashes.const import PREFIX_CLEARED
from ..crashes.const import PREFIX_RECORDS
from ..crashes.const import PREFIX_TRIALS
from ..crashes.coordinator import CrashWatch
from ..directory.coordinator import Directory
from ..directory.models import DirectoryKeys
from ..duties.models import is_duty
from ..forwarding.coordinator import Forwarder
from ..forwarding.health import InstanceHealth
from ..forwarding.metering import MeteredForwarder
from ..forwarding.selection import InstanceSelector
from ..forwarding.streams import StreamForwarder
from ..kv_access.calls import PollableKeyValue
from ..kv_access.relayed import RelayedKeyValue
from ..limits.client import LimitedSamplerClient
from ..limits.coordinator import InstanceLimits
from ..pool_holders.clock import Clocks
from ..pool_holders.coordinator import HolderCoordinator
from ..pool_holders.models import HolderRecord
from ..pool_holders.models import Role
from ..pool_holders.role_lease import RoleLeaseManager
from ..ports.duties import DutyClient
from ..ports.kv import KeyValue
from ..ports.peer_kv import PeerKeyValue
from ..ports.peer_origins import PeerOrigins
from ..ports.peer_permits import PeerPermits
from ..ports.peer_usage import PeerUsage
from ..ports.peer_watch import PeerWatch
from ..ports.sampler import SamplerClient
from ..ports.submissions import SubmissionPeer
from ..stream_origins.const import PREFIX_SOFTWARE
from ..stream_origins.coordinator import StreamOrigins
from ..stream_origins.software_archive import SoftwareArchive
from ..submissions.archive import Archive
from ..submissions.coordinator import PoolCoordinator
from ..submissions.ownership import name_first_owner
from ..submissions.reader import SubmissionReader
from ..submissions.registry import SubmissionState
from ..submissions.runner import ItemRunner
from ..telemetry.metrics import Metrics
from ..watch_relay.contact import StoreContact
from ..watch_relay.coordinator import WatchRelay
from ..watch_relay.server import WatchServer
from ..weight_versions.coordinator import VersionCoordinator
from .duties import GatewayDuties
from .models import GatewayIdentity
from .refusals import RefusalSender
from .retirements import RetirementConfirmer
from .routes import GatewayHandler
from .submission_calls import SubmissionHandler


class GatewayPeers(
    PeerKeyValue,
    PeerOrigins,
    PeerPermits,
    PeerUsage,
    PeerWatch,
    SubmissionPeer,
    Protocol,
):
    """All calls that one gateway makes to another."""


class GatewayCoordinator:
    """The parts of a gateway and their background tasks."""

    def __init__(
        self,
        identity: GatewayIdentity,
        keys: DirectoryKeys,
        direct_kv: PollableKeyValue,
        samplers: SamplerClient,
        peer: GatewayPeers,
        clocks: Clocks,
        rng: Random,
        duty_client: DutyClient | None = None,
    ) -> None:
        """Connect the parts; `direct_kv` is the key-value service itself.

        `duty_client` is needed only with duties.
        """
        self.identity = identity
        metrics = self.metrics = Metrics()
        self.limits = InstanceLimits(
            identity.name, lambda: self.holders.list_members(), peer, metrics
        )
        self._samplers = LimitedSamplerClient(
            samplers,
            self.limits,
            lambda instance: self.directory.is_leaving(instance),
            self.metrics,
        )
        self._clocks = clocks
        self._rng = rng
        record = HolderRecord(
            identity.name,
            identity.peer,
            token_hex(const.INCARNATION_BYTES),
            identity.zone,
        )
        self.kv: KeyValue = RelayedKeyValue(
            direct_kv,
            peer,
            lambda: self.holders.list_peers(),
            self.metrics,
            rng,
        )
        self.directory = Directory(
            self.kv,
            direct_kv,
            keys,
            self.metrics,
            rng,
            identity.key_rules,
            clocks.read_boot_s,
        )
        self._samplers.report_leaving = self.directory.record_leaving
        role_leases = RoleLeaseManager(
            self.kv, record, identity.lease_s, clocks.read_boot_s
        )
        self.holders = HolderCoordinator(
            self.kv, direct_kv, record, role_leases, identity.cpu_capacity, rng
        )
        self.crashes = CrashWatch(
            identity.name, self._samplers, self.kv, self.metrics
        )
        software = SoftwareArchive(
            identity.name,
            self.kv,
            self.holders.mirror,
            self.holders.list_members,
            self.directory.list_listed_software,
            self.directory.is_current,
            identity.is_first_start,
            clocks.read_wall_s,
            self.metrics,
        )
        self.holders.subscribe(PREFIX_SOFTWARE, software.apply_event)
        self.origins = StreamOrigins(
            identity.name,
            identity.zone,
            self.holders.list_members,
            peer,
            self.directory.list_software,
            self.directory.is_current,
            software,
            self.metrics,
        )
        self.directory.subscribe(self.origins.handle_instances_change)
        self.holders.subscribe(PREFIX_RECORDS, self.crashes.apply_event)
        self.holders.subscribe(PREFIX_CLEARED, self.crashes.apply_event)
        self.holders.subscribe(PREFIX_TRIALS, self.crashes.apply_event)
        mirrors = [
            self.directory.configuration_mirror,
            self.directory.instance_mirror,
            self.holders.mirror,
        ]
        self.contact = StoreContact(clocks.read_boot_s)
        self.watch_server = WatchServer(
            mirrors,
            self.contact,
            self.holders.renew_membership,
            clocks.read_boot_s,
            self.metrics,
        )
        self.watch_relay = WatchRelay(
            identity.name,
            mirrors,
            self.holders.mirror,
            self.holders.list_members,
            peer,
            self.watch_server,
            self.contact,
            clocks.read_boot_s,
            identity.is_first_start,
            self.metrics,
            rng,
        )
        self.health = InstanceHealth(rng)
        selector = InstanceSelector(
            identity.name,
            identity.zone,
            self._samplers,
            self.directory.find_instances,
            self.health,
            self.limits,
            rng,
        )
        self.admission = CallAdmission(
            selector, self.health, self.metrics, rng
        )
        self.forwarder = Forwarder(
            self._samplers,
            selector,
            self.health,
            self.crashes,
            self.admission,
            self.metrics,
        )
        self.duties = GatewayDuties(
            record,
            identity.duties,
            identity.lease_s,
            self.kv,
            self.holders,
            peer,
            duty_client,
            clocks,
            self.metrics,
            rng,
        )
        self.archive = Archive(self.kv, identity.value_bytes, self.metrics)
        self.pools: dict[str, PoolCoordinator] = {}
        self.reader = SubmissionReader(
            self.archive,
            self.holders,
            self._find_submission,
            peer,
            lambda: self.directory.table.version,
        )
        refusals = RefusalSender(self.directory, self.metrics, rng)
        self.handler = GatewayHandler(
            self.directory,
            MeteredForwarder(
                self.forwarder,
                StreamForwarder(
                    self._samplers,
                    selector,
                    self.health,
                    self.crashes,
                    self.origins,
                ),
                self.duties.recorder,
            ),
            SubmissionHandler(
                self.archive,
                self.reader,
                lambda submission: name_first_owner(
                    self.directory.table, submission
                ),
                refusals,
                clocks.read_wall_s,
                self.metrics,
                identity.max_page_bytes,
            ),
            refusals,
            identity.key_rules,
            self.metrics,
        )
        self._retirements = RetirementConfirmer(self.kv, keys, self.directory)
        self._table_changed = trio.Event()
        self._table_version = 0
        self.directory.subscribe(self._handle_table_change)
        self.metrics.add_gauge(
            "configuration", lambda: self.directory.table.version
        )
        self.metrics.add_gauge("roles", lambda: len(self.holders.roles))

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run all background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.forwarder.run)
            nursery.start_soon(self.watch_relay.run)
            nursery.start_soon(self.limits.run)
            nursery.start_soon(self.crashes.run)
            nursery.start_soon(self.origins.run)
            nursery.start_soon(self.holders.publish_address)
            nursery.start_soon(self._compete_for_pools)
            nursery.start_soon(self.duties.run)
            task_status.started()

    async def hand_over(self) -> None:
        """Store the state of all pools held here and release their roles.

        Items run on meanwhile. A pool that another gateway took is left out.
        """
        async with trio.open_nursery() as nursery:
            for name, role in self.holders.roles.items():
                if not is_duty(name):
                    nursery.start_soon(self._flush_pool, name, role)
        await self.holders.stop(self.duties.list_unsettled())

    async def _flush_pool(self, name: str, role: Role) -> None:
        """Store the state of a pool, unless another gateway takes it."""
        async with trio.open_nursery() as nursery:

            async def flush() -> None:
                await self.pools[name].flush(role)
                nursery.cancel_scope.cancel()

            nursery.start_soon(flush)
            await self.holders.wait_until_left(role)
            nursery.cancel_scope.cancel()

    def is_ready(self, now: float) -> bool:
        """Return whether a configuration is known and its store responds."""
        if not self.directory.has_configuration():
            return False
        return not self.directory.configuration_mirror.is_unavailable(now)

    async def _compete_for_pools(self) -> None:
        """Compete to hold each pool that the configuration names.

        Also forgets the instances that have left.
        """
        async with trio.open_nursery() as nursery:
            while True:
                for upstream in self.directory.table.list_pools():
                    if is_duty(upstream.name):
                        continue
                    if upstream.name not in self.pools:
                        pool = self._create_pool(upstream.name)
                        self.pools[upstream.name] = pool
                        nursery.start_soon(
                            self.holders.hold_pool, upstream.name, pool.run
                        )
                if not all(is_duty(name) for name in self.holders.roles):
                    await self._retirements.confirm()
                names = set(self.directory.instances)
                self._samplers.retain_only(names)
                self.admission.rooms.retain_only(names)
                self.health.retain_only(names)
                with trio.move_on_after(const.POOL_CHECK_INTERVAL_S):
                    await self._table_changed.wait()

    def _create_pool(self, name: str) -> PoolCoordinator:
        """Return a coordinator of a pool's submissions and weights."""
        versions = VersionCoordinator(
            self.identity.name,
            self._samplers,
            self.directory.is_leaving,
            self.limits.find_limit,
            self._clocks.read_boot_s,
            self.metrics,
        )
        runner = ItemRunner(
            self._samplers,
            self.forwarder,
            self.health,
            lambda host, path: self.directory.table.find_route(host, path),
            versions.record_version,
            self.metrics,
            lambda: self.directory.table.organisations is not None,
        )
        return PoolCoordinator(
            name,
            self.kv,
            self.archive,
            self.directory,
            runner,
            self._samplers,
            versions,
            self.health,
            self.limits,
            self.identity.result_retention_s,
            self._clocks,
            self.metrics,
            self._rng,
        )

    def _find_submission(self, submission: str) -> SubmissionState | None:
        """Return a submission of a pool that this gateway holds, or None."""
        boot_now = self._clocks.read_boot_s()
        for name, pool in self.pools.items():
            role = self.holders.roles.get(name)
            if role is None or not role.is_valid(boot_now):
                continue
            state = pool.find_submission(submission)
            if state is not None:
                return state
        return None

    def _handle_table_change(self) -> None:
        """Wake the check for new pools after a change of configuration."""
        version = self.directory.table.version
        if version != self._table_version:
            self._table_version = version
            self._table_changed.set()
            self._table_changed = trio.Event()
