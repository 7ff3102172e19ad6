"""Data classes of benchmark results."""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
import json
from pathlib import Path

RESULTS_FOLDER = Path(__file__).parent / "results"


@dataclass(frozen=True, slots=True)
class Figure:
    """Measured figure; without bounds it is only reported."""

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    def is_within_bounds(self) -> bool:
        """Return whether the figure is within its bounds."""
        if self.at_most is not None and self.value > self.at_most:
            return False
        return self.at_least is None or self.value >= self.at_least

    def __str__(self) -> str:
        """Return one line of the table."""
        bound = ""
        if self.at_most is not None:
            bound = f"at most {self.at_most:g}"
        if self.at_least is not None:
            bound = f"at least {self.at_least:g}"
        mark = "" if self.is_within_bounds() else "  OUT OF BOUNDS"
        return (
            f"{self.name:58} {self.value:12.4g} {self.unit:14} {bound}{mark}"
        )


@dataclass(frozen=True, slots=True)
class Series:
    """Measured points and the line fitted to them."""

    name: str
    size_name: str
    unit: str
    sizes: list[float]
    values: list[float]
    slope: float
    base: float


@dataclass(slots=True)
class Table:
    """Figures of one benchmark."""

    title: str
    figures: list[Figure] = field(default_factory=list)
    series: list[Series] = field(default_factory=list)

    def add(
        self,
        name: str,
        value: float,
        unit: str,
        at_most: float | None = None,
        at_least: float | None = None,
    ) -> None:
        """Add a figure and print it."""
        figure = Figure(name, value, unit, at_most, at_least)
        self.figures.append(figure)
        print(figure, flush=True)

    def find_out_of_bounds(self) -> list[Figure]:
        """Return the figures that are not within their bounds."""
        return [
            figure for figure in self.figures if not figure.is_within_bounds()
        ]

    def save(self) -> None:
        """Write the figures, and any fitted points, as JSON."""
        RESULTS_FOLDER.mkdir(exist_ok=True)
        data = [asdict(figure) for figure in self.figures]
        path = RESULTS_FOLDER / f"{self.title}.json"
        path.write_text(json.dumps(data, indent=1) + "\n")
        if self.series:
            points = [asdict(series) for series in self.series]
            path = RESULTS_FOLDER / f"{self.title}.points.json"
            path.write_text(json.dumps(points, indent=1) + "\n")
