"""Dispatch of items to free slots, and moves away from slow instances."""

import functools
import math

from result import Ok
import trio

from . import const
from ..directory.coordinator import Directory
from ..forwarding.health import InstanceHealth
from ..limits.coordinator import InstanceLimits
from ..organisations.decisions import find_owners_route
from ..ports.sampler import SamplerClient
from ..routing.instances import ListedInstance
from ..telemetry.containment import contain_errors
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..weight_versions.coordinator import VersionCoordinator
from .allocation import SlotAllocator
from .memory import MemoryTable
from .registry import ItemPhase
from .registry import ItemState
from .registry import SubmissionRegistry
from .registry import SubmissionState
from .runner import fail_item
from .runner import ItemRunner
from .scheduling import choose_moves
from .scheduling import order_items
from .scheduling import should_restart
from .scheduling import SlotCandidate
from .unrouted import UnroutedItems

Instances = dict[str, ListedInstance]


class ItemDispatcher:
    """Start, move and run the items of a pool."""

    def __init__(
        self,
        pool: str,
        registry: SubmissionRegistry,
        directory: Directory,
        runner: ItemRunner,
        samplers: SamplerClient,
        versions: VersionCoordinator,
        health: InstanceHealth,
        limits: InstanceLimits,
        metrics: Metrics,
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._directory = directory
        self._runner = runner
        self._versions = versions
        self._health = health
        self._limits = limits
        self._metrics = metrics
        self._samplers = samplers
        self._memory = MemoryTable()
        self._in_flight: dict[str, int] = {}
        self._group_instances: dict[tuple[str, str], str] = {}
        self._unrouted = UnroutedItems(pool)

    def clear(self) -> None:
        """Drop all state, once this gateway lost the role."""
        self._in_flight.clear()
        self._memory.clear()
        self._group_instances.clear()
        self._unrouted.clear()

    def forget_submission(self, submission: str) -> None:
        """Forget at which instances a submission's groups ran."""
        for key in [k for k in self._group_instances if k[0] == submission]:
            del self._group_instances[key]
        self._unrouted.forget(submission)

    def find_unrouted(self, submission: SubmissionState) -> frozenset[str]:
        """Return the items that no route sends to this pool."""
        return self._unrouted.find(
            submission.submission, self._directory.table
        )

    def dispatch(
        self,
        instances: Instances,
        models: list[str],
        now: float,
        nursery: trio.Nursery,
        may_start: bool,
    ) -> dict[str, int]:
        """Start waiting items, or move slow ones when none waits.

        Returns the free slots of each instance.
        """
        self._runner.event_intervals.retain_only(instances)
        self._memory.retain_only(instances)
        open_submissions = self._registry.list_open()
        allocator = SlotAllocator(
            {m: self._list_candidates(instances, m, now) for m in models},
            lambda name, urgency: (
                not self._limits.find_wait_s(instances[name], urgency, now)
            ),
            self._memory,
            now,
        )
        if not may_start:
            return allocator.free
        if not self._start_items(
            open_submissions, instances, allocator, now, nursery
        ):
            self._move_items(open_submissions, allocator, now)
        if any(submission.needs_memory for submission in open_submissions):
            unlimited = [
                instance
                for instance in instances.values()
                if self._limits.find_limit(instance) is None
            ]
            awaited = allocator.is_memory_awaited
            for instance in self._memory.list_due(unlimited, awaited, now):
                nursery.start_soon(self._fetch_memory, instance)
        return allocator.free

    async def _fetch_memory(self, instance: ListedInstance) -> None:
        """Fetch and record an instance's memory."""
        report = None
        with contain_errors("report", instance=instance.name):
            fetched = await self._samplers.fetch_report(instance)
            report = fetched.ok_value if isinstance(fetched, Ok) else None
        self._memory.record_report(instance, report, trio.current_time())
        self._registry.notify_changed()

    def _start_items(
        self,
        open_submissions: list[SubmissionState],
        instances: Instances,
        allocator: SlotAllocator,
        now: float,
        nursery: trio.Nursery,
    ) -> bool:
        """Start items on free slots; return whether some still wait.

        Those that can't run under the configuration in force, since it has no
        route or pool for them, take no slot and don't count.
        """
        any_waiting = False
        max_prompt = self._memory.find_max_prompt(instances)
        urgencies = {
            submission.submission.id: self._find_urgency(submission)
            for submission in open_submissions
        }
        for submission, state in order_items(open_submissions, now):
            reason = ""
            if now >= submission.give_up_at:
                reason = "age"
            elif state.item.prompt_tokens >= max_prompt:
                reason = "memory"
            if reason:
                submission.finish_item(fail_item(state, reason), now)
                self._registry.notify_changed()
                continue
            if submission.submission.model not in allocator.candidates:
                continue
            if state.item.id in self.find_unrouted(submission):
                continue
            group = (submission.submission.id, state.item.group)
            group_instance = self._group_instances.get(group, "")
            urgency = urgencies[submission.submission.id]
            candidate = allocator.allocate(
                submission, state, group_instance, urgency
            )
            if candidate is None and self._restart_item(
                submission, state, allocator, now
            ):
                candidate = allocator.allocate(
                    submission, state, group_instance, urgency
                )
            if candidate is None:
                any_waiting = True
                continue
            self._group_instances[group] = candidate.instance
            self._record_start(submission, state, candidate, now)
            nursery.start_soon(
                self._run_item,
                submission,
                state,
                instances[candidate.instance],
            )
        return any_waiting

    def _restart_item(
        self,
        submission: SubmissionState,
        state: ItemState,
        allocator: SlotAllocator,
        now: float,
    ) -> bool:
        """Return whether an item without a slot drops its events."""
        if not state.needs_version:
            return False
        model = submission.submission.model
        known = self._directory.list_software(self._pool, now)
        if state.software is None and len(known) == 1:
            state.software = next(iter(known))
            return True
        candidates = allocator.candidates.get(model, [])
        if not should_restart(
            state,
            candidates,
            allocator.free,
            submission.submission.min_version,
            now,
        ):
            if state.version_awaited_since is None:
                state.version_awaited_since = now
            return False
        self._metrics.count("items_restarted")
        log_event(
            "item_restarted",
            item=state.item.id,
            submission=submission.submission.id,
            software=state.software,
            events=state.last_event,
            awaited_since=state.version_awaited_since,
        )
        state.discard_events()
        return True

    def _record_start(
        self,
        submission: SubmissionState,
        state: ItemState,
        candidate: SlotCandidate,
        now: float,
    ) -> None:
        """Record and log the start of an item and the chosen slot."""
        state.phase = ItemPhase.RUNNING
        state.instance = candidate.instance
        state.started_at = now
        state.version_awaited_since = None
        in_flight = self._in_flight.get(candidate.instance, 0)
        self._in_flight[candidate.instance] = in_flight + 1
        need = self._memory.estimate_need(
            submission.submission.model, state.item
        )
        if need.prompt:
            self._memory.start_item(candidate.instance, state, need)
        log_event(
            "item_started",
            item=state.item.id,
            submission=submission.submission.id,
            instance=candidate.instance,
            version=candidate.version,
            software=candidate.software,
            free=candidate.free,
            pace_s=round(candidate.event_interval_s, 4),
            events=state.last_event,
        )

    def _move_items(
        self,
        open_submissions: list[SubmissionState],
        allocator: SlotAllocator,
        now: float,
    ) -> None:
        """Cancel streams on slow instances that a free slot would speed up.

        A cancelled item waits again and avoids the instance that it left.
        """
        for submission in open_submissions:
            running = [
                state
                for state in submission.items.values()
                if state.phase is ItemPhase.RUNNING
            ]
            moves = choose_moves(
                running,
                allocator.candidates.get(submission.submission.model, []),
                allocator.free,
                submission.submission.min_version,
                now,
                functools.partial(
                    allocator.may_lay, submission.submission.model
                ),
            )
            for state in moves:
                log_event(
                    "item_moved",
                    item=state.item.id,
                    instance=state.instance,
                    events=state.last_event,
                )
                self._metrics.count("item_moves")
                state.avoided_instance = state.instance
                if state.cancel_scope is not None:
                    state.cancel_scope.cancel()

    def _list_candidates(
        self, instances: Instances, model: str, now: float
    ) -> list[SlotCandidate]:
        """Return the instances for a model, without those that load it."""
        versions = self._versions
        candidates: list[SlotCandidate] = []
        for name, instance in instances.items():
            load = versions.loading.get(name)
            if load is not None and load.model == model:
                continue
            candidates.append(
                SlotCandidate(
                    name,
                    versions.find_version(name, model),
                    self._count_free_slots(instance, now),
                    max(1, instance.slots),
                    self._runner.event_intervals.find_interval(name, now),
                    versions.assigned.get(name) == model,
                    instance.software,
                )
            )
        return candidates

    def _find_urgency(self, submission: SubmissionState) -> int:
        """Return the priority of a submission, 0 without a route."""
        found = submission.submission
        route = find_owners_route(self._directory.table, found, found.path)
        return 0 if route is None else route.priority

    def _count_free_slots(self, instance: ListedInstance, now: float) -> int:
        """Return how many items may start at an instance now.

        After a failure it gets none during its backoff, then a single one
        until it succeeds. One that named a limit gets what that allows.
        """
        state = self._health.get_state(instance.name)
        if now < state.avoided_until:
            return 0
        in_flight = self._in_flight.get(instance.name, 0)
        slots = 1 if state.avoided_until else instance.slots
        free = slots - in_flight
        limit_per_s = self._limits.find_limit(instance)
        if limit_per_s is None:
            return free
        # What the limit allows until the next scheduling pass.
        return min(free, math.ceil(limit_per_s * const.RETRY_DELAY_S) or 1)

    async def _run_item(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
    ) -> None:
        """Run an item once; without a result it waits again."""
        result = None
        route = find_owners_route(
            self._directory.table, submission.submission, state.item.path
        )
        state.cancel_scope = trio.CancelScope()
        holds_slot = True

        def release_slot() -> None:
            nonlocal holds_slot
            if holds_slot:
                holds_slot = False
                self._release_slot(submission, state, instance)

        with state.cancel_scope:
            try:
                if route is not None and not submission.is_stopped:
                    result = await self._runner.run(
                        submission, state, instance, route, release_slot
                    )
            finally:
                release_slot()
                state.cancel_scope = None
        if submission.is_stopped or state.phase is ItemPhase.COMMITTED:
            return
        if result is None:
            state.phase = ItemPhase.WAITING
            state.instance = ""
        else:
            submission.finish_item(result, trio.current_time())
        self._registry.notify_changed()

    def _release_slot(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
    ) -> None:
        """Free an item's slot and record how long it was used."""
        in_flight = self._in_flight.get(instance.name, 1)
        self._in_flight[instance.name] = in_flight - 1
        self._memory.end_item(instance.name, state)
        took_s = trio.current_time() - state.started_at
        model = submission.submission.model
        self._versions.demand.record_item(model, took_s)
        if state.complete:
            self._memory.record_length(model, state, trio.current_time())
        self._registry.notify_changed()
