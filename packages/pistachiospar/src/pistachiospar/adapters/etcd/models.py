"""Messages of the etcd v3 JSON gateway that the adapter uses.

Integers of 64 bits travel as strings, keys and values as base64.
"""

from base64 import b64decode
from base64 import b64encode

import msgspec


class Header(msgspec.Struct):
    """Hold the response header."""

    revision: str = "0"


class KeyValueMessage(msgspec.Struct):
    """Hold one key."""

    key: str
    value: str = ""
    mod_revision: str = "0"
    lease: str = "0"


class RangeRequest(msgspec.Struct, omit_defaults=True):
    """Ask for the keys from `key` up to `range_end`."""

    key: str
    range_end: str = ""
    limit: str = "0"
    sort_order: str = "NONE"
    sort_target: str = "KEY"
    keys_only: bool = False


class RangeResponse(msgspec.Struct):
    """Answer a range request."""

    header: Header
    kvs: list[KeyValueMessage] = []


class PutRequest(msgspec.Struct, omit_defaults=True):
    """Write one key."""

    key: str
    value: str
    lease: str = "0"


class PutResponse(msgspec.Struct):
    """Answer a put."""

    header: Header


class Compare(msgspec.Struct):
    """Compare a key's modification revision."""

    key: str
    mod_revision: str
    target: str = "MOD"
    result: str = "EQUAL"


class DeleteRange(msgspec.Struct):
    """Delete one key."""

    key: str


class RequestOperation(msgspec.Struct, omit_defaults=True):
    """Hold one operation of a transaction."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRange | None = None


class TransactionRequest(msgspec.Struct):
    """Do the operations of `success` if every comparison holds."""

    compare: list[Compare]
    success: list[RequestOperation]


class TransactionResponse(msgspec.Struct):
    """Answer a transaction."""

    header: Header
    succeeded: bool = False


class LeaseGrantRequest(msgspec.Struct):
    """Ask for a lease."""

    TTL: str


class LeaseRequest(msgspec.Struct):
    """Name a lease."""

    ID: str


class LeaseResponse(msgspec.Struct):
    """Answer a grant or a keep-alive."""

    ID: str = "0"
    TTL: str = "0"


class KeepAliveResponse(msgspec.Struct):
    """Wrap the answer of a keep-alive."""

    result: LeaseResponse


class WatchCreate(msgspec.Struct):
    """Describe a watch."""

    key: str
    range_end: str
    start_revision: str
    progress_notify: bool = True


class WatchRequest(msgspec.Struct):
    """Ask for a watch."""

    create_request: WatchCreate


class EventMessage(msgspec.Struct):
    """Hold one change; the type is PUT where it is left out."""

    kv: KeyValueMessage
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """Hold the changes of one watch message."""

    header: Header
    events: list[EventMessage] = []
    created: bool = False


class WatchResponse(msgspec.Struct):
    """Wrap one watch message."""

    result: WatchResult


def encode_bytes(data: bytes) -> str:
    """Encode a key or value."""
    return b64encode(data).decode("ascii")


def decode_bytes(text: str) -> bytes:
    """Decode a key or value."""
    return b64decode(text)


def end_of_prefix(prefix: str) -> bytes:
    """Return the first key after all keys with the prefix."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return bytes(data)
