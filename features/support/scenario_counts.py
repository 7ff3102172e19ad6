"""Reporter that prints the number of scenarios as the last line."""

from typing import Any

from behave.model import Scenario
from behave.model import ScenarioOutline
from behave.reporter.base import Reporter


class CountReporter(Reporter):
    """Print `scenarios: N passed, N failed, N skipped` at the end."""

    def __init__(self, config: Any) -> None:
        """Start with all counts at 0."""
        super().__init__(config)
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}

    def feature(self, feature: Any) -> None:
        """Count the scenarios of a feature."""
        for scenario in feature.walk_scenarios():
            if isinstance(scenario, ScenarioOutline):
                continue
            self._count_scenario(scenario)

    def end(self) -> None:
        """Print the counts."""
        parts = [f"{n} {name}" for name, n in self._counts.items()]
        print("scenarios: " + ", ".join(parts))

    def _count_scenario(self, scenario: Scenario) -> None:
        """Count a scenario; any status but these and untested is a failure."""
        name = scenario.status.name
        if name in ("passed", "skipped"):
            self._counts[name] += 1
        elif name != "untested":
            self._counts["failed"] += 1
