"""Data classes of days of a pool."""

from dataclasses import dataclass
from dataclasses import field

from pistachiospar_standins.fakes.samplers import SamplerSpeed

WINDOW_S = 2.0
WORST_WINDOWS = 2


@dataclass(frozen=True, slots=True)
class ModelLoad:
    """Describe what a trainer asks of a model each step."""

    name: str
    groups: int
    size: int
    events: float
    spread: float
    train_s: float


@dataclass(frozen=True, slots=True)
class PoolSite:
    """Describe a pool and its trainers.

    `load_x` raises all loads where the sheet's work leaves places free.
    """

    name: str
    samplers: int
    slots: int
    models: tuple[ModelLoad, ...]
    pace: SamplerSpeed
    load_x: float = 1.0


@dataclass(frozen=True, slots=True)
class Moment:
    """Hold how many groups wait, run and are finished at a time."""

    at: float
    waiting: int
    running: int
    finished: int


@dataclass(slots=True)
class StepOutcome:
    """Hold what a step earned of what it owed."""

    asked_at: float
    model: str
    owed: float
    earned: float = 0.0


@dataclass(slots=True)
class PoolDay:
    """Hold what came of a day."""

    steps: list[StepOutcome] = field(default_factory=list)
    moments: list[Moment] = field(default_factory=list)
    runs: int = 0
    loads: int = 0
    events: int = 0

    def find_share(self) -> float:
        """Return the share earned of all that was owed."""
        return _share(self.steps)

    def find_worst_windows(self) -> float:
        """Return the mean share of the two worst windows."""
        windows: dict[int, list[StepOutcome]] = {}
        for step in self.steps:
            key = int(step.asked_at // WINDOW_S)
            windows.setdefault(key, []).append(step)
        shares = sorted(_share(steps) for steps in windows.values())
        worst = shares[:WORST_WINDOWS]
        return sum(worst) / len(worst)

    def find_worth(self) -> float:
        """Return the worth as lampu-vaks weighs it, without prices."""
        models = {step.model for step in self.steps}
        worst_model = min(
            _share([s for s in self.steps if s.model == model])
            for model in models
        )
        return (
            0.35 * self.find_share()
            + 0.5 * self.find_worst_windows()
            + 0.15 * worst_model
        )


def _share(steps: list[StepOutcome]) -> float:
    """Return earned by owed."""
    return sum(s.earned for s in steps) / sum(s.owed for s in steps)
