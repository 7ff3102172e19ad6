"""Decision on the software version at which a caller's stream goes on.

Pattern: a caller resumes its stream at another gateway, since the first one
was killed, frozen or cut off. A record of the stream decides. Without one the
stream goes on only where a single version can have begun it: the gateways may
all have just started, so that the stored record of versions counts too.
"""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

from ..routing.instances import SoftwareOrigin
from .messages import StreamOrigin


@dataclass(frozen=True, slots=True)
class OriginFindings:
    """What gateways know of a stream.

    `software` has the versions that may have begun it, by upstream, of all
    that replied. `asked` counts other gateways, `answered` those that
    replied and have read what served before; `is_confirmed` is set when the
    stored record was read after the caller's request, `is_history_complete`
    when it has all versions that may have begun a stream.
    """

    origin: StreamOrigin | None
    software: Mapping[str, Collection[str]]
    asked: int
    answered: int
    is_confirmed: bool
    is_history_complete: bool


@dataclass(frozen=True, slots=True)
class OriginUnknown:
    """Several versions, or none, may have begun a stream."""

    detail: str


@dataclass(frozen=True, slots=True)
class OriginMismatch:
    """The stream is another caller's, or one of another request."""


OriginDecision = SoftwareOrigin | OriginUnknown | OriginMismatch


def describe_decision(decision: OriginDecision) -> str:
    """Return a short text on a decision, for the log."""
    match decision:
        case SoftwareOrigin(upstream, software):
            return f"{upstream} {software}"
        case OriginUnknown(detail):
            return f"unknown: {detail}"
        case OriginMismatch():
            return "mismatch: another caller, path or body"


def decide_origin(
    findings: OriginFindings, fingerprint: str
) -> OriginDecision:
    """Return at what a stream goes on, or why that can't be said."""
    if findings.origin is not None:
        if findings.origin.fingerprint != fingerprint:
            return OriginMismatch()
        return findings.origin.get_origin()
    possible = [
        SoftwareOrigin(upstream, version)
        for upstream, versions in findings.software.items()
        for version in sorted(versions)
    ]
    if len(possible) != 1:
        names = ", ".join(f"{p.upstream} {p.software}" for p in possible)
        return OriginUnknown(f"no record of it; may be of {names or 'none'}")
    if not findings.is_history_complete:
        return OriginUnknown("no record of it, nor of what served before")
    if not _is_certain(findings):
        return OriginUnknown(
            f"no record of it; {findings.answered} of {findings.asked} "
            "gateways replied"
        )
    return possible[0]


def _is_certain(findings: OriginFindings) -> bool:
    """Return whether a version that these gateways don't know is unlikely.

    A version is recorded in the store before it begins a stream. While the
    store is away none can be recorded, and half of the gateways know those
    from before. A list of instances is no proof: one that is current by the
    last contact may lack what came since.
    """
    if findings.answered == 0 and findings.asked > 0:
        return False
    if findings.is_confirmed:
        return True
    return findings.asked > 0 and 2 * findings.answered >= findings.asked
