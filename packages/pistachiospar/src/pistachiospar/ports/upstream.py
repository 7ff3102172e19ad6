"""Port of an upstream: a model engine or a plain service."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from result import Result


class UpstreamError(Exception):
    """Tell that a call failed; it may have been run."""


class UpstreamNotSentError(UpstreamError):
    """Tell that a call certainly did not reach the upstream."""


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """Hold one call as it goes to the upstream."""

    request_id: str
    method: str
    path: str
    content_type: str
    priority: int
    body: bytes
    key: str = ""


class UpstreamAnswer(Protocol):
    """Read an upstream's answer."""

    status: int
    content_type: str

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises UpstreamError when it is cut short."""


@dataclass(frozen=True, slots=True)
class GenerateCall:
    """Ask an engine for one sample, or for the rest of one.

    `text` is what was generated before, `tokens` its length.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    text: str = ""
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Piece:
    """Hold a part of a generated text and its number of tokens."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class LoadCall:
    """Order an engine to load a version of a model's weights."""

    model: str
    version: int
    source: str
    fence: int


class Upstream(Protocol):
    """Reach an upstream."""

    def call(
        self, call: UpstreamCall
    ) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Make a call; leaving the context early cancels it.

        Raises UpstreamNotSentError and UpstreamError.
        """

    async def probe(self) -> bool:
        """Return whether the upstream takes connections."""


class Engine(Upstream, Protocol):
    """Reach a model engine."""

    def generate(
        self, call: GenerateCall
    ) -> AbstractAsyncContextManager[AsyncIterator[Piece]]:
        """Generate a sample; leaving the context early cancels it."""

    async def load(self, call: LoadCall) -> Result[None, str]:
        """Load weights; after an Err what the engine holds is in doubt."""

    async def read_versions(self) -> Result[dict[str, int], str]:
        """Return the version that the engine holds of each model."""
