"""Support starting items where there is room, and moving slow ones."""

import trio

from ..directory.coordinator import Directory
from ..forwarding.health import InstanceHealth
from ..routing.instances import ListedInstance
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from ..versions.coordinator import VersionCoordinator
from .board import Board
from .board import ItemState
from .board import Phase
from .board import SubmissionState
from .runner import give_up
from .runner import ItemRunner
from .scheduling import choose_moves
from .scheduling import choose_seat
from .scheduling import order_items
from .scheduling import Seat

Instances = dict[str, ListedInstance]


class SeatBook:
    """Hold the free places of one look at the instances."""

    def __init__(self, seats: dict[str, list[Seat]]) -> None:
        """Take the seats of each model; an instance's places are shared."""
        self.seats = seats
        self.free = {
            seat.instance: seat.free for row in seats.values() for seat in row
        }
        self._full: dict[str, int] = {}

    def choose(
        self, submission: SubmissionState, state: ItemState, beside: str
    ) -> Seat | None:
        """Choose a place for an item and take it.

        Once there is none for some version of a model, there is none for a
        newer one either.
        """
        model = submission.submission.model
        version = submission.submission.min_version
        if version >= self._full.get(model, version + 1):
            return None
        seat = choose_seat(
            self.seats.get(model, []),
            self.free,
            version,
            beside,
            state.avoided,
        )
        if seat is None:
            self._full[model] = version
        else:
            self.free[seat.instance] -= 1
        return seat


class ItemDispatcher:
    """Start, move and follow the items of a pool's board."""

    def __init__(
        self,
        board: Board,
        directory: Directory,
        runner: ItemRunner,
        versions: VersionCoordinator,
        health: InstanceHealth,
        metrics: Metrics,
    ) -> None:
        """Begin with nothing in flight."""
        self._board = board
        self._directory = directory
        self._runner = runner
        self._versions = versions
        self._health = health
        self._metrics = metrics
        self._in_flight: dict[str, int] = {}
        self._group_seats: dict[tuple[str, str], str] = {}

    def clear(self) -> None:
        """Forget all, when another gateway holds the pool."""
        self._in_flight.clear()
        self._group_seats.clear()

    def forget(self, submission: str) -> None:
        """Forget where the groups of a submission ran."""
        for key in [k for k in self._group_seats if k[0] == submission]:
            del self._group_seats[key]

    def dispatch(
        self,
        instances: Instances,
        models: list[str],
        now: float,
        nursery: trio.Nursery,
        may_start: bool,
    ) -> dict[str, int]:
        """Start waiting items, or move slow ones; return the free places."""
        self._runner.paces.keep_only(instances)
        book = SeatBook(
            {m: self._list_seats(instances, m, now) for m in models}
        )
        opened = self._board.list_open()
        if not may_start:
            return book.free
        if not self._start_items(opened, instances, book, now, nursery):
            self._move_items(opened, book, now)
        return book.free

    def _start_items(
        self,
        opened: list[SubmissionState],
        instances: Instances,
        book: SeatBook,
        now: float,
        nursery: trio.Nursery,
    ) -> bool:
        """Start waiting items where there is room; tell if some wait on."""
        waits = False
        for submission, state in order_items(opened, now):
            if now >= submission.give_up_at:
                submission.finish(give_up(state, "age"), now)
                self._board.wake()
                continue
            group = (submission.submission.id, state.item.group)
            beside = self._group_seats.get(group, "")
            seat = book.choose(submission, state, beside)
            if seat is None:
                waits = True
                continue
            self._group_seats[group] = seat.instance
            self._note_start(submission, state, seat, now)
            nursery.start_soon(
                self._run_item, submission, state, instances[seat.instance]
            )
        return waits

    def _note_start(
        self,
        submission: SubmissionState,
        state: ItemState,
        seat: Seat,
        now: float,
    ) -> None:
        """Note that an item starts, and what decided where."""
        state.phase = Phase.RUNNING
        state.instance = seat.instance
        state.began_at = now
        taken = self._in_flight.get(seat.instance, 0)
        self._in_flight[seat.instance] = taken + 1
        log_event(
            "item_started",
            item=state.item.id,
            submission=submission.submission.id,
            instance=seat.instance,
            version=seat.version,
            free=seat.free,
            pace_s=round(seat.pace_s, 4),
            events=state.last_event,
        )

    def _move_items(
        self, opened: list[SubmissionState], book: SeatBook, now: float
    ) -> None:
        """Move streams from slow instances to faster ones with room."""
        for submission in opened:
            running = [
                state
                for state in submission.items.values()
                if state.phase is Phase.RUNNING
            ]
            moves = choose_moves(
                running,
                book.seats.get(submission.submission.model, []),
                book.free,
                submission.submission.min_version,
                now,
            )
            for state in moves:
                log_event(
                    "item_moved",
                    item=state.item.id,
                    instance=state.instance,
                    events=state.last_event,
                )
                self._metrics.count("item_moves")
                state.avoided = state.instance
                if state.scope is not None:
                    state.scope.cancel()

    def _list_seats(
        self, instances: Instances, model: str, now: float
    ) -> list[Seat]:
        """Describe the instances for a model's items."""
        versions = self._versions
        seats: list[Seat] = []
        for name, instance in instances.items():
            load = versions.loading.get(name)
            if load is not None and load.model == model:
                continue
            seats.append(
                Seat(
                    name,
                    versions.find_version(name, model),
                    self._count_free(instance, now),
                    max(1, instance.slots),
                    self._runner.paces.find(name, now),
                    versions.assigned.get(name) == model,
                )
            )
        return seats

    def _count_free(self, instance: ListedInstance, now: float) -> int:
        """Return how many items may start at an instance now.

        One that failed gets nothing for a while, then one item to try.
        """
        state = self._health.get_state(instance.name)
        if now < state.avoided_until:
            return 0
        taken = self._in_flight.get(instance.name, 0)
        slots = 1 if state.avoided_until else instance.slots
        return slots - taken

    async def _run_item(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
    ) -> None:
        """Run an item once; one that brought no result waits again."""
        result = None
        route = self._directory.table.find_route(
            submission.submission.host, state.item.path
        )
        state.scope = trio.CancelScope()
        seated = True

        def leave() -> None:
            nonlocal seated
            if seated:
                seated = False
                self._leave(submission, state, instance)

        with state.scope:
            try:
                if route is not None and not submission.ended:
                    result = await self._runner.run(
                        submission, state, instance, route, leave
                    )
            finally:
                leave()
                state.scope = None
        if submission.ended:
            return
        if result is None:
            state.phase = Phase.WAITING
            state.instance = ""
        else:
            submission.finish(result, trio.current_time())
        self._board.wake()

    def _leave(
        self,
        submission: SubmissionState,
        state: ItemState,
        instance: ListedInstance,
    ) -> None:
        """Give an item's place back."""
        taken = self._in_flight.get(instance.name, 1)
        self._in_flight[instance.name] = taken - 1
        took_s = trio.current_time() - state.began_at
        model = submission.submission.model
        self._versions.demand.note_item(model, took_s)
        self._board.wake()
