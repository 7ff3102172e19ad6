"""Cursor of a step: which of its samples the trainer has received.

Opaque to the trainer: a bitmap over the step's samples, bound to the step's
definition and protected by a checksum.
"""

from base64 import urlsafe_b64decode
from base64 import urlsafe_b64encode
import binascii
import zlib

import msgspec
from result import Err
from result import Ok
from result import Result
import xxhash

from . import const


class CursorBody(msgspec.Struct, frozen=True, array_like=True):
    """Content of a cursor; the bitmap is compressed with zlib."""

    version: int
    step_digest: str
    bitmap: bytes


class ReceivedSet:
    """Set of the ordinals of samples that a trainer has received."""

    def __init__(self, size: int, bits: int = 0) -> None:
        """Start from a bitmap by ordinal; `size` is the number of samples."""
        self.size = size
        self._bits = bits

    def __contains__(self, ordinal: int) -> bool:
        """Return whether a sample was received."""
        return bool(self._bits >> ordinal & 1)

    def __len__(self) -> int:
        """Return how many samples were received."""
        return self._bits.bit_count()

    def add(self, ordinal: int) -> None:
        """Add a sample by its ordinal."""
        self._bits |= 1 << ordinal

    def is_complete(self) -> bool:
        """Return whether all samples of the step were received."""
        return len(self) == self.size

    def to_bytes(self) -> bytes:
        """Return the bitmap, little-endian."""
        return self._bits.to_bytes((self.size + 7) // 8, "little")


def encode_cursor(step_digest: str, received: ReceivedSet) -> str:
    """Return the cursor as URL-safe base64."""
    body = CursorBody(
        const.CURSOR_FORMAT_VERSION,
        step_digest,
        zlib.compress(received.to_bytes(), 6),
    )
    data = msgspec.msgpack.encode(body)
    return urlsafe_b64encode(_compute_checksum(data) + data).decode("ascii")


def decode_cursor(
    text: str, step_digest: str, size: int
) -> Result[ReceivedSet, str]:
    """Decode a cursor of a step; an empty one has received nothing.

    An Err says what is wrong with it.
    """
    if not text:
        return Ok(ReceivedSet(size))
    if len(text) > const.MAX_CURSOR_CHARACTERS:
        return Err("the cursor is too long")
    try:
        raw = urlsafe_b64decode(text.encode("ascii"))
        checksum = raw[: const.CHECKSUM_BYTES]
        data = raw[const.CHECKSUM_BYTES :]
        if checksum != _compute_checksum(data):
            return Err("the checksum does not match")
        body = msgspec.msgpack.decode(data, type=CursorBody)
        if body.step_digest != step_digest:
            return Err("the cursor belongs to another step")
        max_bytes = (size + 7) // 8
        bitmap = zlib.decompressobj().decompress(body.bitmap, max_bytes + 1)
    except (
        binascii.Error,
        UnicodeEncodeError,
        msgspec.MsgspecError,
        zlib.error,
    ) as error:
        return Err(f"not a cursor: {error}")
    bits = int.from_bytes(bitmap, "little")
    if len(bitmap) > max_bytes or bits >> size:
        return Err("the cursor covers more samples than the step has")
    return Ok(ReceivedSet(size, bits))


def _compute_checksum(data: bytes) -> bytes:
    """Return the checksum of a cursor's content."""
    return xxhash.xxh64_digest(data)
