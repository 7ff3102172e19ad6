"""Support scattering a step's groups over peer entries."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from result import Result

from ..adapters.http.models import HttpResponse
from ..live.coordinator import LiveCoordinator
from ..live.models import EntryRecord
from ..ports.peer import EntryPeer
from ..ports.peer import PeerLostError
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .decisions import assign_jobs
from .models import SampleJob
from .models import StepOwner
from .runner import JobRunner
from .steps import OwnedStep

PeerFactory = Callable[[str], EntryPeer]


@dataclass(slots=True)
class Shares:
    """Hold which entry runs which samples of a step."""

    local: list[SampleJob]
    remote: dict[str, list[SampleJob]] = field(default_factory=dict)


class Scatterer:
    """Reach peer entries for the steps of this one."""

    def __init__(
        self,
        me: EntryRecord,
        live: LiveCoordinator,
        make_peer: PeerFactory,
        metrics: Metrics,
    ) -> None:
        """Take the list of entries."""
        self._me = me
        self._live = live
        self._make_peer = make_peer
        self._metrics = metrics

    def assign(self, owned: OwnedStep) -> Shares:
        """Spread a step's groups over the live entries."""
        names = {self._me.name, *self._live.entries}
        assigned = assign_jobs(owned.jobs, sorted(names), owned.digest)
        local = assigned.pop(self._me.name)
        remote = {name: jobs for name, jobs in assigned.items() if jobs}
        return Shares(local, remote)

    async def run_remote(
        self,
        owned: OwnedStep,
        entry: str,
        jobs: list[SampleJob],
        fallback: JobRunner,
    ) -> None:
        """Run samples at a peer; what it does not bring runs here."""
        missing = {job.ordinal: job for job in jobs}
        record = self._live.entries.get(entry)
        if record is not None:
            peer = self._make_peer(record.peer)
            try:
                async with peer.run_jobs(owned.make_order(jobs)) as done:
                    async for job_done in done:
                        owned.take_sample(job_done)
                        missing.pop(job_done.ordinal, None)
            except PeerLostError as error:
                self._metrics.count("peers_lost")
                log_event("peer_lost", entry=entry, reason=str(error))
        if missing:
            fallback.add_jobs(list(missing.values()))

    async def forward(
        self, owner: StepOwner, target: str
    ) -> Result[HttpResponse, str]:
        """Pass a pull on to the owner of its step."""
        return await self._make_peer(owner.peer).forward("GET", target, b"")
