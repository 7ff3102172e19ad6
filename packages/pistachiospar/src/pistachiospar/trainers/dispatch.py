"""Support running one sample at one sampler."""

from collections.abc import Iterator
from collections.abc import Sized
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Protocol

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from ..bundle.coordinator import BundleKeeper
from ..bundle.models import Caller
from . import const
from ..link.errors import LinkError
from ..link.messages import Answered
from ..link.messages import OrderKind
from ..link.messages import ReclaimOrder
from ..link.messages import Refused
from ..live.coordinator import LiveCoordinator
from ..membership.coordinator import MembershipCoordinator
from ..membership.models import InstanceView
from ..membership import outliers
from ..membership.peer import SidecarPeer
from ..requests.choice import choose_instance
from ..requests.const import BYTES_PER_TOKEN
from ..requests.models import CallerRequest
from ..requests.models import NoInstance
from ..requests.orders import count_in_flight
from ..requests.orders import make_order
from ..requests.orders import note_refusal
from ..requests.orders import track_attempt
from ..sidecar.models import GeneratedSample
from ..sidecar.models import SampleRequest
from ..telemetry.metrics import Metrics
from .decisions import compute_floor
from .models import JobsOrder
from .models import SampleJob


@dataclass(slots=True, eq=False)
class SampleAttempt:
    """Hold one running attempt at a sample."""

    number: int
    started_at: float
    instance: str = ""
    request_id: str = ""
    reclaimed: bool = False
    version: int = 0
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Share(Protocol):
    """Describe a runner that shares the window."""

    order: JobsOrder
    pending: deque[SampleJob]

    @property
    def running(self) -> Sized:
        """Return the samples that run."""

    def wake(self) -> None:
        """Look again at what can be started."""


class SampleDispatcher:
    """Send samples to samplers, for all steps of an entry."""

    def __init__(
        self,
        zone: str,
        membership: MembershipCoordinator,
        keeper: BundleKeeper,
        live: LiveCoordinator,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Take the links."""
        self._zone = zone
        self._membership = membership
        self._keeper = keeper
        self._live = live
        self._metrics = metrics
        self._rng = rng
        self._runners: list[Share] = []

    @contextmanager
    def register(self, runner: Share) -> Iterator[None]:
        """Let a runner share the window with the others, oldest first."""
        self._runners.append(runner)
        try:
            yield
        finally:
            self._runners.remove(runner)

    def wake_all(self) -> None:
        """Let all runners look again at what they can start."""
        for runner in self._runners:
            runner.wake()

    def count_window(self, runner: Share) -> int:
        """Return how many samples a runner may have running.

        The older steps of its trainer go first: it gets what they leave,
        and nothing while they have samples to start.
        """
        slots = sum(
            view.slots
            for view in self._membership.list_views(runner.order.upstream)
            if view.is_usable()
        )
        window = max(1, int(slots * const.WINDOW_FACTOR))
        for older in self._runners:
            if older is runner:
                break
            if older.order.trainer == runner.order.trainer:
                window -= len(older.running)
                if older.pending:
                    return 0
        return window

    def is_ejected(self, attempt: SampleAttempt) -> bool:
        """Return whether an attempt's sampler is ejected, others not."""
        now = trio.current_time()
        peer = self._membership.peers.get(attempt.instance)
        if peer is None or now >= peer.view.ejected_until:
            return False
        upstream = peer.view.instance.upstream
        return any(
            view.is_usable() and now >= view.ejected_until
            for view in self._membership.list_views(upstream)
        )

    def find_floor(self, order: JobsOrder) -> int | None:
        """Return the oldest version to deliver; None without trainer."""
        bundle = self._keeper.get_bundle()
        trainer = bundle.find_trainer(order.trainer) if bundle else None
        if trainer is None:
            return None
        newest = self._live.find_newest_version(order.trainer)
        return compute_floor(
            order.weight_version, newest, trainer.max_version_lag
        )

    async def run(
        self,
        order: JobsOrder,
        job: SampleJob,
        attempt: SampleAttempt,
        avoid: set[str],
        begun: GeneratedSample | None,
    ) -> Result[GeneratedSample, str]:
        """Run one attempt at a sample; an Err may be tried again.

        `begun` is what other samplers generated of it.
        """
        request = self._make_request(order, job, attempt, begun)
        if request is None:
            return Err("trainer or upstream is not in the bundle")
        views = self._membership.list_views(order.upstream)
        now = trio.current_time()
        choice = choose_instance(
            views, request, avoid, self._zone, now, self._rng
        )
        if isinstance(choice, NoInstance):
            return Err(choice.reason)
        peer = self._membership.peers[choice.name]
        attempt.instance = choice.name
        attempt.version = peer.view.versions.get(order.trainer, 0)
        attempt.request_id = request.request_id
        answer = await self._send(peer, request)
        self._observe(peer.view, request, answer, attempt.started_at)
        return answer

    async def reclaim(self, attempt: SampleAttempt) -> None:
        """Ask a sampler to give a sample back."""
        peer = self._membership.peers.get(attempt.instance)
        if peer is not None and attempt.request_id:
            order = ReclaimOrder([attempt.request_id])
            await peer.link.send_control(order)

    def _make_request(
        self,
        order: JobsOrder,
        job: SampleJob,
        attempt: SampleAttempt,
        begun: GeneratedSample | None,
    ) -> CallerRequest | None:
        """Make the request of an attempt."""
        bundle = self._keeper.get_bundle()
        floor = self.find_floor(order)
        if bundle is None or floor is None:
            return None
        trainer = bundle.find_trainer(order.trainer)
        upstream = bundle.find_upstream(order.upstream)
        if trainer is None or upstream is None:
            return None
        body = SampleRequest(job.prompt, order.max_tokens)
        if begun is not None:
            body = SampleRequest(
                job.prompt, order.max_tokens, begun.text, begun.segments
            )
        name = f"{order.trainer}.{order.step}.{job.ordinal}.{attempt.number}"
        request_id = f"{name}.{self._rng.getrandbits(32):08x}"
        return CallerRequest(
            request_id=request_id,
            caller=Caller(trainer.name, trainer.partner, trainer.priority),
            upstream=upstream,
            kind=OrderKind.SAMPLE,
            method="POST",
            path="",
            content_type="",
            body=msgspec.json.encode(body),
            deadline=trio.current_time() + const.SAMPLE_TIMEOUT_S,
            tokens=order.max_tokens + len(job.prompt) // BYTES_PER_TOKEN,
            repeatable=True,
            prefix=f"{order.trainer}.{order.step}.{job.group}",
            model=order.trainer,
            min_version=floor,
        )

    async def _send(
        self, peer: SidecarPeer, request: CallerRequest
    ) -> Result[GeneratedSample, str]:
        """Send the order and read the whole answer."""
        now = trio.current_time()
        order = make_order(request, peer, request.request_id, now)
        if order is None:
            return Err("the deadline has passed")
        try:
            with (
                count_in_flight(peer, request),
                track_attempt(peer, order.request_id, now) as attempt,
                attempt.scope,
            ):
                async with peer.link.run(order, request.body) as stream:
                    parts = [part async for part in stream.iter_chunks()]
                    if isinstance(stream.reply, Refused):
                        note_refusal(peer, order, stream.reply)
                    return _read_answer(stream.reply, b"".join(parts))
            return Err("the connection went silent")
        except LinkError as error:
            peer.request_heartbeat()
            return Err(str(error))

    def _observe(
        self,
        view: InstanceView,
        request: CallerRequest,
        answer: Result[GeneratedSample, str],
        started_at: float,
    ) -> None:
        """Take a result into account for later choices."""
        now = trio.current_time()
        if isinstance(answer, Ok) and not answer.ok_value.whole:
            return
        if isinstance(answer, Err):
            self._metrics.count("samples_failed")
            outliers.record_failure(view)
        else:
            duration_s = now - started_at
            outliers.record_success(view, duration_s / request.tokens)
            outliers.reset_ejections(view)
        peers = self._membership.list_views(request.upstream.name)
        if outliers.eject_if_outlier(view, peers, now, self._rng):
            self._metrics.count("ejections")


def _read_answer(reply: object, body: bytes) -> Result[GeneratedSample, str]:
    """Read a sample from an answer."""
    match reply:
        case Answered():
            try:
                return Ok(msgspec.json.decode(body, type=GeneratedSample))
            except msgspec.MsgspecError as error:
                return Err(f"unreadable sample: {error}")
        case Refused() as refused:
            return Err(refused.reason)
    return Err("the sampler lost the sample")
