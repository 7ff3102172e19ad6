"""Port of an upstream: a model engine or a plain service."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from result import Result


class UpstreamError(Exception):
    """Failure of a call that may have been run."""


class UpstreamNotSentError(UpstreamError):
    """Failure of a call that did not reach the upstream; it was not run."""


class UpstreamUnsendableError(UpstreamNotSentError):
    """A call that can't be sent to any instance, whatever its state."""


class UpstreamLimitError(UpstreamNotSentError):
    """The instance's limit allows no further call now; none was sent.

    `wait_s` is after how many seconds to try again.
    """

    def __init__(self, detail: str, wait_s: float) -> None:
        super().__init__(detail)
        self.wait_s = wait_s


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One call as it is sent to the upstream."""

    request_id: str
    method: str
    path: str
    content_type: str
    priority: int
    body: bytes
    key: str = ""


class UpstreamResponse(Protocol):
    """An upstream's response, read as it arrives."""

    status: int
    content_type: str

    def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is truncated."""


@dataclass(frozen=True, slots=True)
class GenerateCall:
    """A request for one sample, or for the rest of one.

    `text` is what was generated before, `tokens` its length in tokens.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    text: str = ""
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class TextChunk:
    """A part of a generated text and its number of tokens."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class LoadWeightsCall:
    """A request to load a version of a model's weights from a URL."""

    model: str
    version: int
    source: str
    fence: int


class Upstream(Protocol):
    """Client of an upstream."""

    def call(
        self, call: UpstreamCall
    ) -> AbstractAsyncContextManager[UpstreamResponse]:
        """Make a call; leaving the context early cancels it.

        Raises UpstreamNotSentError and UpstreamError.
        """

    async def is_reachable(self) -> bool:
        """Return whether the upstream accepts connections."""


class Engine(Upstream, Protocol):
    """Client of a model engine."""

    def generate(
        self, call: GenerateCall
    ) -> AbstractAsyncContextManager[AsyncIterator[TextChunk]]:
        """Generate a sample; leaving the context early cancels it."""

    async def load_weights(self, call: LoadWeightsCall) -> Result[None, str]:
        """Load weights; after an Err it is unknown what the engine holds."""

    async def read_versions(self) -> Result[dict[str, int], str]:
        """Return the version that the engine has loaded, by model."""
