"""Data classes of what calls cost."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallClass:
    """Calls that are expected to cost about the same.

    `size` and `tokens` are powers of two of the body's bytes and of the
    tokens that the call reads and generates, 0 when it names none.
    """

    upstream: str
    route: str
    size: int = 0
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """What a call is expected to cost, in seconds of a slot at pace 1.0.

    `spread` is the mean absolute deviation of the logarithm. `age_s` is the
    time since the last observation, None without one.
    """

    typical_s: float
    spread: float
    age_s: float | None


def classify_call(
    upstream: str, route: str, body_bytes: int, tokens: int
) -> CallClass:
    """Return the class of a call."""
    return CallClass(
        upstream, route, body_bytes.bit_length(), tokens.bit_length()
    )
