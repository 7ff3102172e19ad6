"""Support how much work each model brings, as seen so far."""

from dataclasses import dataclass

from . import const


@dataclass(slots=True)
class ModelDemand:
    """Hold means of a model: items a submission, seconds an item."""

    items: float = const.FIRST_ITEMS
    item_s: float = const.FIRST_ITEM_S


class DemandBook:
    """Hold the demand of all models."""

    def __init__(self) -> None:
        """Begin with the same guess for all."""
        self._models: dict[str, ModelDemand] = {}

    def find(self, model: str) -> ModelDemand:
        """Return a model's demand."""
        return self._models.setdefault(model, ModelDemand())

    def note_submission(self, model: str, items: int) -> None:
        """Take the size of a submission."""
        demand = self.find(model)
        demand.items += const.DEMAND_WEIGHT * (items - demand.items)

    def note_item(self, model: str, took_s: float) -> None:
        """Take the time that an item ran."""
        demand = self.find(model)
        demand.item_s += const.DEMAND_WEIGHT * 0.2 * (took_s - demand.item_s)

    def weigh(self, model: str) -> float:
        """Return the seconds of work that a submission brings."""
        demand = self.find(model)
        return demand.items * demand.item_s


def share_out(weights: dict[str, float], places: int) -> dict[str, int]:
    """Share places out by weights; each has one while there are enough.

    The next place goes to the model whose work a place is the longest.
    """
    shares = dict.fromkeys(weights, 0)
    for _ in range(places if weights else 0):
        first = min(
            weights,
            key=lambda m: (
                shares[m] > 0,
                -weights[m] / (shares[m] + 1),
                m,
            ),
        )
        shares[first] += 1
    return shares
