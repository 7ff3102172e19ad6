"""The parts of an entry, independent of the adapters."""

from collections.abc import Callable
from random import Random
import time

import trio

from ..bundle.coordinator import BundleKeeper
from ..helpers.explanations import Explanations
from ..live_state.coordinator import LiveCoordinator
from ..live_state.lease import EntryLease
from ..live_state.models import EntryRecord
from ..membership.coordinator import LinkFactory
from ..membership.coordinator import MembershipCoordinator
from ..membership.departures import DepartureRegistry
from ..membership.incarnations import IncarnationRegistry
from ..ports.instances import InstanceList
from ..ports.kv import KeyValue
from ..requests.coordinator import RequestCoordinator
from ..settings.models import EntrySettings
from ..telemetry.metrics import Metrics
from ..trainers.coordinator import StepCoordinator
from ..trainers.dispatch import SampleDispatcher
from ..trainers.models import StepOwner
from ..trainers.scatter import PeerFactory
from ..trainers.scatter import Scatterer
from ..trainers.storage import StepStorage
from ..weight_announcements.coordinator import WeightsAnnouncer
from .routes import CallerHandler


class EntryCoordinator:
    """Connect the parts of an entry and run their background tasks."""

    def __init__(
        self,
        settings: EntrySettings,
        kv: KeyValue,
        instance_list: InstanceList,
        make_link: LinkFactory,
        make_peer: PeerFactory,
        rng: Random,
        read_wall_s: Callable[[], float] = time.time,
    ) -> None:
        """Create the parts; `read_wall_s` returns wall-clock seconds."""
        common = settings.process
        self.rng = rng
        self.metrics = Metrics()
        self.explanations = Explanations()
        self.keeper = BundleKeeper(common.first_partners)
        self.record = EntryRecord(
            name=common.name,
            zone=common.zone,
            region=settings.region,
            peer=str(settings.peer),
            admin=str(common.admin),
        )
        self.live = LiveCoordinator(kv, self.keeper, self.metrics, rng)
        self.lease = EntryLease(kv, self.record, self.metrics, rng)
        self.membership = MembershipCoordinator(
            self.record,
            instance_list,
            make_link,
            self.keeper,
            self.live,
            IncarnationRegistry(kv),
            DepartureRegistry(kv),
            read_wall_s,
            self.metrics,
            rng,
        )
        self.requests = RequestCoordinator(
            common.zone,
            self.membership,
            self.explanations,
            self.metrics,
            rng,
            read_wall_s,
        )
        self.dispatcher = SampleDispatcher(
            common.zone,
            self.membership,
            self.keeper,
            self.live,
            self.metrics,
            rng,
        )
        announcer = WeightsAnnouncer(kv, self.live)
        owner = StepOwner(self.record.name, self.record.peer)
        self.steps = StepCoordinator(
            self.keeper,
            self.live,
            self.dispatcher,
            Scatterer(self.record, self.live, make_peer, self.metrics),
            StepStorage(kv, owner, self.metrics),
            announcer,
            self.metrics,
            rng,
        )
        self.handler = CallerHandler(
            self.keeper,
            self.requests,
            self.steps,
            announcer,
            self.metrics,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run all background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.steps.run)
            nursery.start_soon(self.live.run_watch)
            nursery.start_soon(self.live.run_watch_check)
            nursery.start_soon(self.lease.run)
            nursery.start_soon(self.membership.run)
            task_status.started()

    def is_ready(self) -> bool:
        """Return whether a bundle is in force and an instance is usable."""
        if self.keeper.get_bundle() is None:
            return False
        peers = self.membership.peers.values()
        return any(peer.view.is_usable() for peer in peers)
