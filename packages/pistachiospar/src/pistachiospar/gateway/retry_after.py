"""When a refused caller should come back.

Pattern: an outage refuses many callers at about the same time, and each of
them tries only once more. They should come back when they can be served, and
not all together.
"""

from random import Random

from . import const


def choose_retry_after_s(
    expected_s: float | None, outage_s: float, rng: Random
) -> float:
    """Return the seconds after which a caller should come back.

    `expected_s` is when something that can serve it is expected, None when
    that is not known. Then the wait grows with the outage so far, `outage_s`:
    one that has lasted long is likely to go on.
    """
    wait_s = expected_s
    max_s = const.RETRY_AFTER_MAX_KNOWN_S
    if wait_s is None:
        wait_s = const.RETRY_AFTER_OUTAGE_SHARE * outage_s
        max_s = const.RETRY_AFTER_MAX_S
    wait_s = min(max(wait_s, const.RETRY_AFTER_MIN_S), max_s)
    spread = 1.0 + const.RETRY_AFTER_JITTER * rng.random()
    return round(wait_s * spread, 2)
