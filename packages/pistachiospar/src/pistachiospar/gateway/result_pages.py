"""Encoded pages of results, shared by those who read them at a time.

Pattern: many trainers and observers read the same step, some of them slowly,
and a page is held until its last byte is sent.
"""

from dataclasses import dataclass
from weakref import WeakValueDictionary

from ..platform.callers import encode_results
from ..submissions.models import ResultPage


@dataclass(frozen=True, slots=True, weakref_slot=True)
class EncodedPage:
    """The body of a response; it is held as long as someone sends it."""

    body: bytes


class ResultPages:
    """The pages that are being sent; `max_bytes` bounds them in all."""

    def __init__(self, max_bytes: int) -> None:
        """Start without pages."""
        self._max_bytes = max_bytes
        self._pages: WeakValueDictionary[tuple[str, int, int], EncodedPage] = (
            WeakValueDictionary()
        )

    def count_bytes(self) -> int:
        """Return how many bytes are held."""
        return sum(len(page.body) for page in self._pages.values())

    def encode(
        self, submission: str, page: ResultPage, after: int
    ) -> EncodedPage | None:
        """Return the page from position `after` on; None if there's no room.

        Results don't change, so the number of them tells pages apart.
        """
        key = (submission, after, len(page.results))
        known = self._pages.get(key)
        if known is not None:
            return known
        encoded = EncodedPage(encode_results(page, after))
        if self.count_bytes() + len(encoded.body) > self._max_bytes:
            return None
        self._pages[key] = encoded
        return encoded
