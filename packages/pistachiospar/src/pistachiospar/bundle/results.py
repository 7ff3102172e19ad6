"""Results of offering a bundle to a process."""

from enum import Enum


class OfferResult(Enum):
    """What became of an offered envelope."""

    ACCEPTED = "taken"
    NOT_NEWER = "not-newer"
    UNTRUSTED = "untrusted"
    EPOCH_MISSING = "epoch-missing"
