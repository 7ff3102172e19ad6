"""Outcomes of offering a bundle to a process."""

from enum import Enum


class Offer(Enum):
    """Tell what became of an offered envelope."""

    TAKEN = "taken"
    NOT_NEWER = "not-newer"
    UNTRUSTED = "untrusted"
    EPOCH_MISSING = "epoch-missing"
