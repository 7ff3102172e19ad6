"""Data classes of the live state."""

import msgspec


class EntryRecord(msgspec.Struct, frozen=True):
    """Describe a live entry; `peer` and `admin` are `host:port`."""

    name: str
    zone: str
    region: str
    peer: str
    admin: str


class AnnouncedWeights(msgspec.Struct, frozen=True):
    """Describe the newest weights of a trainer.

    `fence` is the store's revision of the announcement.
    """

    trainer: str
    version: int
    source: str
    fence: int = 0
