"""Messages of the admin port."""

import msgspec


class BundleState(msgspec.Struct, frozen=True):
    """Tell which bundle is in force; ages are in seconds.

    `knowledge_age_s` is the time since the key-value service, or for a
    sidecar an entry, was last heard; None when never.
    """

    version: int
    digest: str
    epoch: int
    in_force_for_s: float | None
    knowledge_age_s: float | None
    current: bool
    rolled_at_s: float = 0.0
    in_force_at_s: float | None = None


class ExplainedNote(msgspec.Struct, frozen=True):
    """Hold one decision on a request; the age is in seconds."""

    age_s: float
    decision: str
    reason: str
