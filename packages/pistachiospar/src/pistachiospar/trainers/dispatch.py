"""Dispatch of samples to samplers, one order for each attempt."""

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
from ..live_state.coordinator import LiveCoordinator
from ..membership.coordinator import MembershipCoordinator
from ..membership.models import InstanceView
from ..membership import outliers
from ..membership.sidecar_peer import SidecarPeer
from ..requests.const import CHARACTERS_PER_TOKEN
from ..requests.instance_choice import choose_instance
from ..requests.models import CallerRequest
from ..requests.models import NoInstance
from ..requests.orders import count_in_flight
from ..requests.orders import make_run_order
from ..requests.orders import record_refusal
from ..requests.orders import track_attempt
from ..sidecar.models import GeneratedSample
from ..sidecar.models import SampleRequest
from ..telemetry.metrics import Metrics
from .decisions import compute_min_version
from .models import JobsOrder
from .models import SampleJob


@dataclass(slots=True, eq=False)
class SampleAttempt:
    """A running attempt at a sample; `version` is the sampler's at start."""

    number: int
    started_at: float
    instance: str = ""
    request_id: str = ""
    reclaimed: bool = False
    version: int = 0
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class WindowRunner(Protocol):
    """Runner that shares the window of samples in flight with others."""

    order: JobsOrder
    pending: deque[SampleJob]

    @property
    def running(self) -> Sized:
        """Return the samples that are in flight."""

    def wake(self) -> None:
        """Check again which samples can be started."""


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
        """Use `rng` for the choice of samplers and for request ids."""
        self._zone = zone
        self._membership = membership
        self._keeper = keeper
        self._live = live
        self._metrics = metrics
        self._rng = rng
        self._runners: list[WindowRunner] = []

    @contextmanager
    def register(self, runner: WindowRunner) -> Iterator[None]:
        """Register a runner within the context; older ones have priority."""
        self._runners.append(runner)
        try:
            yield
        finally:
            self._runners.remove(runner)

    def wake_all(self) -> None:
        """Let all runners check again which samples they can start."""
        for runner in self._runners:
            runner.wake()

    def compute_window(self, runner: WindowRunner) -> int:
        """Return how many samples a runner may have in flight.

        Older steps of the same trainer have priority: the runner gets the
        part of the window that they leave, and nothing while they have
        samples to start.
        """
        slots = sum(
            view.slots
            for view in self._membership.list_views(runner.order.upstream)
            if view.is_usable()
        )
        window = max(1, int(slots * const.IN_FLIGHT_SAMPLES_PER_SLOT))
        for older in self._runners:
            if older is runner:
                break
            if older.order.trainer == runner.order.trainer:
                window -= len(older.running)
                if older.pending:
                    return 0
        return window

    def is_ejected(self, attempt: SampleAttempt) -> bool:
        """Return whether an attempt's sampler is ejected and another is not.

        False if no other usable sampler is left to move the sample to.
        """
        now = trio.current_time()
        peer = self._membership.peers.get(attempt.instance)
        if peer is None or now >= peer.view.ejected_until:
            return False
        upstream = peer.view.instance.upstream
        return any(
            view.is_usable() and now >= view.ejected_until
            for view in self._membership.list_views(upstream)
        )

    def find_min_version(self, order: JobsOrder) -> int | None:
        """Return the oldest weight version that may be delivered.

        None if the trainer is not in the bundle.
        """
        bundle = self._keeper.get_bundle()
        trainer = bundle.find_trainer(order.trainer) if bundle else None
        if trainer is None:
            return None
        newest = self._live.find_newest_version(order.trainer)
        return compute_min_version(
            order.weight_version, newest, trainer.max_version_lag
        )

    async def run(
        self,
        order: JobsOrder,
        job: SampleJob,
        attempt: SampleAttempt,
        avoid: set[str],
        partial: GeneratedSample | None,
    ) -> Result[GeneratedSample, str]:
        """Run one attempt at a sample; an Err may be retried.

        `partial` is the text that other samplers generated of it.
        """
        request = self._make_request(order, job, attempt, partial)
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
        result = await self._send_order(peer, request)
        self._record_result(peer.view, request, result, attempt.started_at)
        return result

    async def reclaim(self, attempt: SampleAttempt) -> None:
        """Ask a sampler to stop a sample and return its partial text."""
        peer = self._membership.peers.get(attempt.instance)
        if peer is not None and attempt.request_id:
            order = ReclaimOrder([attempt.request_id])
            await peer.link.send_control(order)

    def _make_request(
        self,
        order: JobsOrder,
        job: SampleJob,
        attempt: SampleAttempt,
        partial: GeneratedSample | None,
    ) -> CallerRequest | None:
        """Return an attempt's request; None if the bundle lacks its names."""
        bundle = self._keeper.get_bundle()
        min_version = self.find_min_version(order)
        if bundle is None or min_version is None:
            return None
        trainer = bundle.find_trainer(order.trainer)
        upstream = bundle.find_upstream(order.upstream)
        if trainer is None or upstream is None:
            return None
        body = SampleRequest(job.prompt, order.max_tokens)
        if partial is not None:
            body = SampleRequest(
                job.prompt, order.max_tokens, partial.text, partial.segments
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
            tokens=order.max_tokens + len(job.prompt) // CHARACTERS_PER_TOKEN,
            repeatable=True,
            prefix=f"{order.trainer}.{order.step}.{job.group}",
            model=order.trainer,
            min_version=min_version,
        )

    async def _send_order(
        self, peer: SidecarPeer, request: CallerRequest
    ) -> Result[GeneratedSample, str]:
        """Send the order and read the complete reply."""
        now = trio.current_time()
        order = make_run_order(request, peer, request.request_id, now)
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
                        record_refusal(peer, order, stream.reply)
                    return _parse_reply(stream.reply, b"".join(parts))
            return Err("the connection stalled")
        except LinkError as error:
            peer.request_heartbeat()
            return Err(str(error))

    def _record_result(
        self,
        view: InstanceView,
        request: CallerRequest,
        result: Result[GeneratedSample, str],
        started_at: float,
    ) -> None:
        """Update the sampler's statistics; eject it if it is an outlier.

        A reclaimed sample says nothing about the sampler.
        """
        now = trio.current_time()
        if isinstance(result, Ok) and not result.ok_value.whole:
            return
        if isinstance(result, Err):
            self._metrics.count("samples_failed")
            outliers.record_failure(view)
        else:
            duration_s = now - started_at
            outliers.record_success(view, duration_s / request.tokens)
            outliers.reset_ejections(view)
        peers = self._membership.list_views(request.upstream.name)
        if outliers.eject_if_outlier(view, peers, now, self._rng):
            self._metrics.count("ejections")


def _parse_reply(reply: object, body: bytes) -> Result[GeneratedSample, str]:
    """Return the sample that a reply carries; an Err if it has none."""
    match reply:
        case Answered():
            try:
                return Ok(msgspec.json.decode(body, type=GeneratedSample))
            except msgspec.MsgspecError as error:
                return Err(f"unreadable sample: {error}")
        case Refused() as refused:
            return Err(refused.reason)
    return Err("the sampler lost the sample")
