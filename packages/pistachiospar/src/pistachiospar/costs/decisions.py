"""Averages of positive quantities with a heavy tail, in the log domain."""

from dataclasses import dataclass
import math

from . import const

# Of an observation of 0 s, which has no logarithm.
_MIN_VALUE = 1e-6


@dataclass(frozen=True, slots=True)
class LogAverage:
    """Average of the logarithms of what was observed.

    `spread` is their mean absolute deviation, `weight` the number of
    observations as of `updated_at`, in monotonic seconds.
    """

    mean: float
    spread: float
    weight: float
    updated_at: float

    def compute_weight(self, now: float) -> float:
        """Return the weight that is left after ageing."""
        age_s = max(0.0, now - self.updated_at)
        return self.weight * 0.5 ** (age_s / const.HALF_LIFE_S)


def record_value(
    average: LogAverage | None,
    value: float,
    now: float,
    is_upper_bound: bool = False,
) -> LogAverage:
    """Return an average after one more observation.

    An upper bound, such as the duration of a call that may have waited, counts
    only where the average is higher or has no other observations.
    """
    log = math.log(max(_MIN_VALUE, value))
    if average is None:
        return LogAverage(log, const.INITIAL_SPREAD, 1.0, now)
    if is_upper_bound and log >= average.mean:
        return average
    weight = average.compute_weight(now) + 1.0
    step = max(const.MIN_STEP, 1.0 / weight)
    bound = max(
        const.MIN_DEVIATION_BOUND,
        const.MAX_DEVIATION_SPREADS * average.spread,
    )
    deviation = min(bound, max(-bound, log - average.mean))
    return LogAverage(
        average.mean + step * deviation,
        average.spread + step * (abs(deviation) - average.spread),
        min(weight, 1.0 / const.MIN_STEP),
        now,
    )


def blend_averages(
    averages: list[LogAverage | None], now: float
) -> tuple[float, float]:
    """Return mean and spread by averages from the general to the specific.

    Each counts by its weight, so that one with few or old observations
    differs little from the one before it.
    """
    mean, spread = math.log(const.DEFAULT_COST_S), const.INITIAL_SPREAD
    known = False
    for average in averages:
        if average is None:
            continue
        weight = average.compute_weight(now)
        share = weight / (weight + const.PRIOR_WEIGHT) if known else 1.0
        mean += share * (average.mean - mean)
        spread += share * (average.spread - spread)
        known = True
    return mean, spread
