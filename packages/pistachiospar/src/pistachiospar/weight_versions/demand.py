"""Moving averages of the work that each model brings."""

from dataclasses import dataclass

from . import const


@dataclass(slots=True)
class ModelDemand:
    """Averages of a model: items per submission, seconds per item."""

    items: float = const.INITIAL_ITEMS
    item_s: float = const.INITIAL_ITEM_S


class DemandTracker:
    """Demand of all models, by name."""

    def __init__(self) -> None:
        self._models: dict[str, ModelDemand] = {}

    def find_demand(self, model: str) -> ModelDemand:
        """Return a model's demand, the initial averages when it is new."""
        return self._models.setdefault(model, ModelDemand())

    def record_submission(self, model: str, items: int) -> None:
        """Record the number of items of a submission."""
        demand = self.find_demand(model)
        demand.items += const.DEMAND_EWMA_WEIGHT * (items - demand.items)

    def record_item(self, model: str, took_s: float) -> None:
        """Record the time that an item used a slot, in seconds."""
        demand = self.find_demand(model)
        demand.item_s += (
            const.DEMAND_EWMA_WEIGHT * 0.2 * (took_s - demand.item_s)
        )

    def estimate_work_s(self, model: str) -> float:
        """Return the slot seconds that an average submission takes."""
        demand = self.find_demand(model)
        return demand.items * demand.item_s


def share_instances(work_s: dict[str, float], count: int) -> dict[str, int]:
    """Return how many of `count` instances each model gets, by its work.

    Each model gets one while there are enough. The next instance goes to the
    model with the most work per instance.
    """
    shares = dict.fromkeys(work_s, 0)
    for _ in range(count if work_s else 0):
        neediest = min(
            work_s,
            key=lambda m: (
                shares[m] > 0,
                -work_s[m] / (shares[m] + 1),
                m,
            ),
        )
        shares[neediest] += 1
    return shares
