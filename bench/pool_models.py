"""Data classes of simulated days of a pool of samplers."""

from dataclasses import dataclass
from dataclasses import field

from pistachiospar_standins.fakes.samplers import SamplerSpeed

WINDOW_DURATION_S = 2.0
WORST_WINDOW_COUNT = 2


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """Work that a trainer submits for a model in each step.

    Each group has `group_size` items. The number of events of an item is
    log-normal with the mean `mean_events`; `event_sigma` is the standard
    deviation of its logarithm. Training takes `train_s` after each step.
    """

    name: str
    groups: int
    group_size: int
    mean_events: float
    event_sigma: float
    train_s: float


@dataclass(frozen=True, slots=True)
class PoolSite:
    """Pool of samplers and its trainers.

    `load_factor` raises all loads where the sheet's work leaves slots free.
    """

    name: str
    samplers: int
    slots_per_sampler: int
    models: tuple[ModelLoad, ...]
    speed: SamplerSpeed
    load_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class GroupCounts:
    """Numbers of waiting, running and finished groups at a time."""

    at: float
    waiting: int
    running: int
    finished: int


@dataclass(slots=True)
class StepOutcome:
    """Worth that a step earned, and the full worth of its target groups."""

    requested_at: float
    model: str
    full_worth: float
    earned_worth: float = 0.0


@dataclass(slots=True)
class PoolDay:
    """Outcome of a simulated day."""

    steps: list[StepOutcome] = field(default_factory=list)
    group_counts: list[GroupCounts] = field(default_factory=list)
    runs: int = 0
    loads: int = 0
    events: int = 0

    def compute_earned_share(self) -> float:
        """Return the share of the full worth that was earned."""
        return _compute_share(self.steps)

    def compute_worst_windows_share(self) -> float:
        """Return the mean earned share of the two worst time windows."""
        windows: dict[int, list[StepOutcome]] = {}
        for step in self.steps:
            key = int(step.requested_at // WINDOW_DURATION_S)
            windows.setdefault(key, []).append(step)
        shares = sorted(_compute_share(steps) for steps in windows.values())
        worst = shares[:WORST_WINDOW_COUNT]
        return sum(worst) / len(worst)

    def compute_worth(self) -> float:
        """Return the worth as lampu-vaks weighs it, without prices."""
        models = {step.model for step in self.steps}
        worst_model = min(
            _compute_share([s for s in self.steps if s.model == model])
            for model in models
        )
        return (
            0.35 * self.compute_earned_share()
            + 0.5 * self.compute_worst_windows_share()
            + 0.15 * worst_model
        )


def _compute_share(steps: list[StepOutcome]) -> float:
    return sum(s.earned_worth for s in steps) / sum(
        s.full_worth for s in steps
    )
