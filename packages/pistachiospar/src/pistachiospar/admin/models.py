"""Documents that the admin port serves."""

import msgspec


class BundleState(msgspec.Struct, frozen=True):
    """The bundle in force; ages are in seconds.

    `knowledge_age_s` is the time since the last news from the key-value
    service, or from an entry in the case of a sidecar; None if there was
    none.
    """

    version: int
    digest: str
    epoch: int
    in_force_for_s: float | None
    knowledge_age_s: float | None
    current: bool
    rolled_at_s: float = 0.0
    in_force_at_s: float | None = None


class ExplainedDecision(msgspec.Struct, frozen=True):
    """One decision on a request; the age is in seconds."""

    age_s: float
    decision: str
    reason: str
