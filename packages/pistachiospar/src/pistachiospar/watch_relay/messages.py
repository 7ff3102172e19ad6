"""Messages between a follower and its source."""

import msgspec

from ..directory.history import HistoryPage
from ..directory.history import HistoryPosition


class FollowCall(msgspec.Struct, frozen=True):
    """Ask for changes after a position of each prefix.

    The source replies at once when there are some, else after `wait_s`.
    """

    positions: dict[str, HistoryPosition]
    wait_s: float


class FollowReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes by prefix.

    `contact_age_s` is how long ago the source certainly had a response of
    the store. `proven_ages_s` has how long ago all changes of a prefix were
    certainly known, where the source keeps that.
    """

    pages: dict[str, HistoryPage]
    contact_age_s: float
    proven_ages_s: dict[str, float] = {}
