"""Memory that responses take while they are read, all together.

Pattern: many responses end late or never. Each of them is bounded by itself;
this bounds what is held of all of them.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from .const import MAX_BUFFERED_RESPONSE_BYTES
from .errors import ResponseTooLargeError


class ReceiveBuffer:
    """Memory that several responses may take together."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_RESPONSE_BYTES) -> None:
        """Start empty."""
        self._max_bytes = max_bytes
        self._used_bytes = 0

    @contextmanager
    def hold(self) -> Iterator["HeldBytes"]:
        """Count what is held of one response until the context ends."""
        held = HeldBytes(self)
        try:
            yield held
        finally:
            held.clear()

    def resize(self, difference: int) -> None:
        """Count bytes; raises ResponseTooLargeError when there are too many.

        They are counted even then.
        """
        self._used_bytes += difference
        if difference > 0 and self._used_bytes > self._max_bytes:
            raise ResponseTooLargeError("too many responses at once")


class HeldBytes:
    """The bytes that are held of one response."""

    def __init__(self, buffer: ReceiveBuffer) -> None:
        """Start empty; `buffer` counts them with those of others."""
        self._buffer = buffer
        self._data = bytearray()

    def __len__(self) -> int:
        """Return how many bytes are held."""
        return len(self._data)

    def append(self, received: bytes) -> None:
        """Hold more bytes; raises ResponseTooLargeError."""
        self._data += received
        self._buffer.resize(len(received))

    def split_off(self, received: bytes, separator: bytes) -> list[bytes]:
        """Hold more bytes; return, and drop, the parts that end within them.

        What was searched before isn't searched again. Raises
        ResponseTooLargeError.
        """
        search_from = max(0, len(self._data) - len(separator) + 1)
        self.append(received)
        if self._data.find(separator, search_from) < 0:
            return []
        *parts, rest = bytes(self._data).split(separator)
        self._buffer.resize(len(rest) - len(self._data))
        self._data = bytearray(rest)
        return parts

    def take(self) -> bytes:
        """Return all bytes, and drop them."""
        data = bytes(self._data)
        self.clear()
        return data

    def clear(self) -> None:
        """Drop all bytes."""
        self._buffer.resize(-len(self._data))
        self._data = bytearray()
