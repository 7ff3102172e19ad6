"""Support the receiver's cursor: which samples a trainer has taken.

It is opaque to the trainer: a bitmap over the step's samples, bound to the
step's definition and protected by a checksum.
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
    """Hold a cursor's content; the bitmap is compressed."""

    version: int
    step_digest: str
    bitmap: bytes


class TakenSet:
    """Hold the ordinals of the samples that a trainer has taken."""

    def __init__(self, size: int, bits: int = 0) -> None:
        """Begin with given bits."""
        self.size = size
        self._bits = bits

    def __contains__(self, ordinal: int) -> bool:
        """Return whether a sample was taken."""
        return bool(self._bits >> ordinal & 1)

    def __len__(self) -> int:
        """Return how many samples were taken."""
        return self._bits.bit_count()

    def take(self, ordinal: int) -> None:
        """Add a sample."""
        self._bits |= 1 << ordinal

    def is_complete(self) -> bool:
        """Return whether all samples were taken."""
        return len(self) == self.size

    def to_bytes(self) -> bytes:
        """Return the bitmap."""
        return self._bits.to_bytes((self.size + 7) // 8, "little")


def encode_cursor(step_digest: str, taken: TakenSet) -> str:
    """Encode a cursor."""
    body = CursorBody(
        const.CURSOR_VERSION, step_digest, zlib.compress(taken.to_bytes(), 6)
    )
    data = msgspec.msgpack.encode(body)
    return urlsafe_b64encode(_checksum(data) + data).decode("ascii")


def decode_cursor(
    text: str, step_digest: str, size: int
) -> Result[TakenSet, str]:
    """Decode a cursor of a step; the empty text is its beginning."""
    if not text:
        return Ok(TakenSet(size))
    if len(text) > const.MAX_CURSOR_CHARACTERS:
        return Err("too long")
    try:
        raw = urlsafe_b64decode(text.encode("ascii"))
        checksum = raw[: const.CHECKSUM_BYTES]
        data = raw[const.CHECKSUM_BYTES :]
        if checksum != _checksum(data):
            return Err("the checksum does not match")
        body = msgspec.msgpack.decode(data, type=CursorBody)
        if body.step_digest != step_digest:
            return Err("it belongs to another step")
        limit = (size + 7) // 8
        bitmap = zlib.decompressobj().decompress(body.bitmap, limit + 1)
    except (
        binascii.Error,
        UnicodeEncodeError,
        msgspec.MsgspecError,
        zlib.error,
    ) as error:
        return Err(f"not a cursor: {error}")
    bits = int.from_bytes(bitmap, "little")
    if len(bitmap) > limit or bits >> size:
        return Err("it covers more samples than the step has")
    return Ok(TakenSet(size, bits))


def _checksum(data: bytes) -> bytes:
    """Return the checksum of a cursor's content."""
    return xxhash.xxh64_digest(data)
