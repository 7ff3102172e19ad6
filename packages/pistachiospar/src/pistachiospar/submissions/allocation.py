"""Free slots and memory of the instances during one scheduling pass."""

from collections.abc import Callable

from . import const
from .memory import MemoryNeed
from .memory import MemoryTable
from .registry import ItemState
from .registry import SubmissionState
from .scheduling import choose_slot
from .scheduling import may_continue
from .scheduling import SlotCandidate


class SlotAllocator:
    """Free slots of the instances during one scheduling pass."""

    def __init__(
        self,
        candidates: dict[str, list[SlotCandidate]],
        is_open: Callable[[str, int], bool],
        memory: MemoryTable,
        now: float,
    ) -> None:
        """Initialize from each model's candidates, which share their slots.

        `is_open` returns whether an instance's limit may allow an item of
        some urgency.
        """
        self._is_open = is_open
        self._memory = memory
        self._now = now
        self._held: set[str] = set()
        self.candidates = candidates
        self.free = {
            candidate.instance: candidate.free
            for model_candidates in candidates.values()
            for candidate in model_candidates
        }
        self._largest = {
            model: memory.find_largest(
                [candidate.instance for candidate in model_candidates], now
            )
            for model, model_candidates in candidates.items()
        }
        self._no_slot_from: dict[tuple[str, int, str | None], int] = {}
        self._memory_misses = 0

    def allocate(
        self,
        submission: SubmissionState,
        state: ItemState,
        group_instance: str,
        urgency: int,
    ) -> SlotCandidate | None:
        """Choose a slot for an item and take it; None when none is usable.

        Without a slot for some version of a model there is none for a newer
        version either, so later calls for it return None at once.

        The first item that waits for memory holds the instance with the most
        left: shorter ones would take what becomes free there forever.
        """
        model = submission.submission.model
        version = submission.submission.min_version
        software = state.software if state.needs_version else None
        key = (model, urgency, software)
        if version >= self._no_slot_from.get(key, version + 1):
            return None
        usable = [
            candidate
            for candidate in self.candidates.get(model, [])
            if self._is_open(candidate.instance, urgency)
            and may_continue(state, candidate)
            and candidate.instance not in self._held
        ]
        fitting = usable
        if state.item.prompt_tokens:
            if self._memory_misses >= const.MAX_MEMORY_MISSES:
                return None
            fitting = [
                c for c in usable if self.may_lay(model, state, c.instance)
            ]
        candidate = choose_slot(
            fitting,
            self.free,
            version,
            group_instance,
            state.avoided_instance,
        )
        if candidate is not None:
            self.free[candidate.instance] -= 1
        elif fitting is usable or not self._hold_instance(
            usable, self._memory.estimate_need(model, state.item), version
        ):
            self._no_slot_from[key] = version
        return candidate

    def may_lay(self, model: str, state: ItemState, instance: str) -> bool:
        """Return whether an item fits into an instance's memory."""
        need = self._memory.estimate_need(model, state.item)
        largest = self._largest.get(model, 0)
        return self._memory.may_lay(instance, need, largest, self._now)

    def _hold_instance(
        self,
        usable: list[SlotCandidate],
        need: MemoryNeed,
        version: int,
    ) -> bool:
        """Return whether an item waits for memory only.

        The first one holds the instance with the most memory left, of those
        that could have enough for it.
        """
        with_slots = [
            candidate.instance
            for candidate in usable
            if candidate.version >= version
            and self.free[candidate.instance] > 0
        ]
        if not with_slots:
            return False
        self._memory_misses += 1
        if not self._held:
            self._held.add(
                max(
                    with_slots,
                    key=lambda name: (
                        self._memory.may_become_free(name, need, self._now),
                        self._memory.count_free(name, self._now),
                    ),
                )
            )
        return True

    @property
    def is_memory_awaited(self) -> bool:
        """Whether an item waits for memory."""
        return bool(self._held)
