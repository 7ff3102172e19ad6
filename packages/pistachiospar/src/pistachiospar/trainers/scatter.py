"""Scattering of a step's groups over the live entries."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from result import Result

from ..adapters.http.models import HttpResponse
from ..live_state.coordinator import LiveCoordinator
from ..live_state.models import EntryRecord
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
class JobAssignment:
    """Samples of a step that run here, and at each other entry."""

    local: list[SampleJob]
    remote: dict[str, list[SampleJob]] = field(default_factory=dict)


class Scatterer:
    """Run samples at peer entries and forward pulls to owners of steps."""

    def __init__(
        self,
        own_record: EntryRecord,
        live: LiveCoordinator,
        make_peer: PeerFactory,
        metrics: Metrics,
    ) -> None:
        """Identify this entry by `own_record`; `make_peer` gets addresses."""
        self._own_record = own_record
        self._live = live
        self._make_peer = make_peer
        self._metrics = metrics

    def assign(self, owned: OwnedStep) -> JobAssignment:
        """Assign a step's groups to the live entries, this one included."""
        names = {self._own_record.name, *self._live.entries}
        assigned = assign_jobs(owned.jobs, sorted(names), owned.digest)
        local = assigned.pop(self._own_record.name)
        remote = {name: jobs for name, jobs in assigned.items() if jobs}
        return JobAssignment(local, remote)

    async def run_remote(
        self,
        owned: OwnedStep,
        entry: str,
        jobs: list[SampleJob],
        fallback: JobRunner,
    ) -> None:
        """Run samples at a peer; those that it doesn't return run here."""
        missing = {job.ordinal: job for job in jobs}
        record = self._live.entries.get(entry)
        if record is not None:
            peer = self._make_peer(record.peer)
            try:
                async with peer.run_jobs(owned.make_order(jobs)) as done:
                    async for job_done in done:
                        owned.add_sample(job_done)
                        missing.pop(job_done.ordinal, None)
            except PeerLostError as error:
                self._metrics.count("peers_lost")
                log_event("peer_lost", entry=entry, reason=str(error))
        if missing:
            fallback.add_jobs(list(missing.values()))

    async def forward_pull(
        self, owner: StepOwner, target: str
    ) -> Result[HttpResponse, str]:
        """Forward a pull to the owner of its step; an Err if unreachable."""
        return await self._make_peer(owner.peer).forward("GET", target, b"")
