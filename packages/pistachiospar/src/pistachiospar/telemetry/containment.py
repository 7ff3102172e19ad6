"""Boundaries that keep an unforeseen error from ending the process.

A task that serves one connection, call, item, report or stored entry has one.
"""

from collections.abc import Iterator
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass
import traceback

from .logs import log_event

# The errors of this process by what was served.
contained_errors: Counter[str] = Counter()


@dataclass(slots=True)
class Containment:
    """What became of the work within a boundary; `error` is None if whole."""

    error: Exception | None = None


@contextmanager
def contain_errors(served: str, **names: object) -> Iterator[Containment]:
    """Log and count an error instead of raising it.

    `served` and `names` tell what fails by it. Cancellation passes.
    """
    containment = Containment()
    try:
        yield containment
    except Exception as error:
        containment.error = error
        contained_errors[served] += 1
        log_event(
            "unforeseen_error", served=served, error=repr(error), **names
        )
        traceback.print_exc()
