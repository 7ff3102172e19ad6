"""Messages between a gateway and the holder of the usage reports."""

import msgspec

# Calls by window, then organisation.
WindowCounts = dict[int, dict[str, int]]


class CountsMessage(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one process that may not be durable yet.

    A count is that of all calls of an organisation in a window so far.
    `complete_until_s` is the Unix time up to which no call will be counted
    any more.
    """

    gateway: str
    life: str
    sequence: int
    complete_until_s: float
    counts: WindowCounts


class CountsReceipt(msgspec.Struct, frozen=True, array_like=True):
    """The last message of a process whose counts are durable."""

    durable_sequence: int
