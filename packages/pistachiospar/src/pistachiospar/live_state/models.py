"""Values of the live keys."""

import msgspec


class EntryRecord(msgspec.Struct, frozen=True):
    """A live entry; `peer` and `admin` are `host:port`."""

    name: str
    zone: str
    region: str
    peer: str
    admin: str


class AnnouncedWeights(msgspec.Struct, frozen=True):
    """The newest announced weights of a trainer.

    `source` is their URL, `fence` the key's revision of the announcement.
    """

    trainer: str
    version: int
    source: str
    fence: int = 0
