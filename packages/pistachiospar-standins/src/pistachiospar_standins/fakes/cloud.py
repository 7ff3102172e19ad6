"""In-memory fake of the duties' interface, with injected faults."""

from dataclasses import dataclass
from dataclasses import field
from random import Random

import msgspec
from pistachiospar.duties.models import DutyOutcome
from pistachiospar.platform.cloud import ScaleMessage
from pistachiospar.platform.cloud import UsageMessage
import trio

USAGE = "usage"


@dataclass(frozen=True, slots=True)
class DutyArrival:
    """A call that was carried out; `subject` is what its fence protects."""

    at: float
    holder: str
    fence: int
    subject: str
    body: bytes


@dataclass(slots=True)
class CloudFaults:
    """Shares of the calls that fail, and whether all do.

    A late call has no response and is carried out up to `late_s` later.
    """

    lost_share: float = 0.0
    late_share: float = 0.0
    limited_share: float = 0.0
    late_s: float = 5.0
    down: bool = False


@dataclass(slots=True)
class FakeCloud:
    """The interface; without `require_fence` it checks nothing."""

    rng: Random
    require_fence: bool = True
    faults: CloudFaults = field(default_factory=CloudFaults)
    arrivals: list[DutyArrival] = field(default_factory=list)
    fenced: list[DutyArrival] = field(default_factory=list)
    nursery: trio.Nursery | None = None

    def carry_out(self, arrival: DutyArrival) -> DutyOutcome:
        """Carry out a call unless a higher fence was seen."""
        highest = max(
            (a.fence for a in self.arrivals if a.subject == arrival.subject),
            default=0,
        )
        if self.require_fence and arrival.fence < highest:
            self.fenced.append(arrival)
            return DutyOutcome.FENCED
        self.arrivals.append(arrival)
        return DutyOutcome.DONE


class FakeCloudClient:
    """A gateway's client; calls are not made while it is in `cut`."""

    def __init__(self, cloud: FakeCloud, holder: str, cut: set[str]) -> None:
        """Call as the gateway `holder`."""
        self._cloud = cloud
        self._holder = holder
        self._cut = cut

    def encode_usage(self, window: int, counts: dict[str, int]) -> bytes:
        """Encode a report."""
        return msgspec.json.encode(
            UsageMessage(window, dict(sorted(counts.items())))
        )

    async def report_usage(self, fence: int, body: bytes) -> DutyOutcome:
        """Report the calls of a window."""
        return await self._call(fence, USAGE, body)

    async def set_instances(
        self, fence: int, upstream: str, zone: str, number: int
    ) -> DutyOutcome:
        """Set the number of instances of an upstream in a zone."""
        body = msgspec.json.encode(ScaleMessage(upstream, zone, number))
        return await self._call(fence, f"{upstream}/{zone}", body)

    async def _call(
        self, fence: int, subject: str, body: bytes
    ) -> DutyOutcome:
        """Make one call."""
        cloud, faults = self._cloud, self._cloud.faults
        await trio.sleep(0.01)
        while self._holder in self._cut or faults.down:
            await trio.sleep(0.05)
        if cloud.rng.random() < faults.limited_share:
            return DutyOutcome.LIMITED
        if cloud.rng.random() < faults.late_share:
            assert cloud.nursery is not None
            delay_s = cloud.rng.uniform(0.0, faults.late_s)
            cloud.nursery.start_soon(
                self._carry_out_late, fence, subject, body, delay_s
            )
            await trio.sleep_forever()
        outcome = cloud.carry_out(
            DutyArrival(
                trio.current_time(), self._holder, fence, subject, body
            )
        )
        if cloud.rng.random() < faults.lost_share:
            await trio.sleep_forever()
        await trio.sleep(0.01)
        return outcome

    async def _carry_out_late(
        self, fence: int, subject: str, body: bytes, delay_s: float
    ) -> None:
        """Carry out a call after its sender has given up, or has ended."""
        await trio.sleep(delay_s)
        self._cloud.carry_out(
            DutyArrival(
                trio.current_time(), self._holder, fence, subject, body
            )
        )
