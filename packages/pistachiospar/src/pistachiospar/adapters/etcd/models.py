"""Messages of the JSON gateway of etcd v3, as far as they are used.

64-bit integers are encoded as strings, keys and values as base64.
"""

from base64 import b64decode
from base64 import b64encode

import msgspec


class ResponseHeader(msgspec.Struct):
    """Header of a response: the store's revision."""

    revision: str = "0"


class KeyValueMessage(msgspec.Struct):
    """A key with its value and lease; `lease` is 0 for none."""

    key: str
    value: str = ""
    mod_revision: str = "0"
    lease: str = "0"


class RangeRequest(msgspec.Struct, omit_defaults=True):
    """Request for the keys from `key` up to `range_end`, exclusive."""

    key: str
    range_end: str = ""
    limit: str = "0"
    sort_order: str = "NONE"
    sort_target: str = "KEY"
    keys_only: bool = False


class RangeResponse(msgspec.Struct):
    """Response to a range request."""

    header: ResponseHeader
    kvs: list[KeyValueMessage] = []


class PutRequest(msgspec.Struct, omit_defaults=True):
    """Request to write one key, under a lease unless it is 0."""

    key: str
    value: str
    lease: str = "0"


class PutResponse(msgspec.Struct):
    """Response to a put request."""

    header: ResponseHeader


class Compare(msgspec.Struct):
    """Comparison of a key's modification revision."""

    key: str
    mod_revision: str
    target: str = "MOD"
    result: str = "EQUAL"


class DeleteRange(msgspec.Struct):
    """Deletion of one key in a transaction."""

    key: str


class RequestOperation(msgspec.Struct, omit_defaults=True):
    """One operation of a transaction; one of the fields is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRange | None = None


class TransactionRequest(msgspec.Struct):
    """Request to apply `success` if every comparison holds."""

    compare: list[Compare]
    success: list[RequestOperation]


class TransactionResponse(msgspec.Struct):
    """Response to a transaction request."""

    header: ResponseHeader
    succeeded: bool = False


class LeaseGrantRequest(msgspec.Struct):
    """Request for a lease; the TTL is in seconds."""

    TTL: str


class LeaseRequest(msgspec.Struct):
    """Request to renew or revoke a lease."""

    ID: str


class LeaseResponse(msgspec.Struct):
    """Response to a grant, renewal or revocation; the TTL is in seconds."""

    ID: str = "0"
    TTL: str = "0"


class KeepAliveResponse(msgspec.Struct):
    """Response to a renewal of a lease."""

    result: LeaseResponse


class WatchCreate(msgspec.Struct):
    """Key range and first revision of a watch."""

    key: str
    range_end: str
    start_revision: str
    progress_notify: bool = True


class WatchRequest(msgspec.Struct):
    """Request to start a watch."""

    create_request: WatchCreate


class EventMessage(msgspec.Struct):
    """One change; etcd omits the type of a PUT."""

    kv: KeyValueMessage
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """Changes reported by one watch message."""

    header: ResponseHeader
    events: list[EventMessage] = []
    created: bool = False


class WatchResponse(msgspec.Struct):
    """One message of a watch."""

    result: WatchResult


def encode_bytes(data: bytes) -> str:
    """Encode a key or value as base64."""
    return b64encode(data).decode("ascii")


def decode_bytes(text: str) -> bytes:
    """Decode a key or value from base64."""
    return b64decode(text)


def compute_prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys with the prefix."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return bytes(data)
