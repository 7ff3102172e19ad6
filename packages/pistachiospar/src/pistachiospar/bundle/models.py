"""Bundles, releases and the signed envelopes that carry them."""

from enum import Enum
from fnmatch import fnmatchcase
from hashlib import sha256

import msgspec


class UpstreamKind(Enum):
    """A model engine or a plain service."""

    ENGINE = "engine"
    PLAIN = "plain"


class Partner(msgspec.Struct, frozen=True):
    """A partner; `public_key` is Ed25519 in base64, shares add up to 1."""

    name: str
    public_key: str
    share: float


class Caller(msgspec.Struct, frozen=True):
    """An interactive caller; a lower priority is served first."""

    name: str
    partner: str
    priority: int


class Trainer(msgspec.Struct, frozen=True):
    """A trainer; `max_version_lag` bounds staleness in weight versions."""

    name: str
    partner: str
    priority: int
    upstream: str
    max_version_lag: int


class CallPattern(msgspec.Struct, frozen=True):
    """A pattern for method and path; `*` matches any characters."""

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call matches; case matters."""
        return fnmatchcase(method, self.method) and fnmatchcase(
            path, self.path
        )


class Upstream(msgspec.Struct, frozen=True):
    """An upstream; timeouts are in milliseconds."""

    name: str
    kind: UpstreamKind
    default_timeout_ms: int
    max_timeout_ms: int
    not_repeatable: list[CallPattern] = []
    min_serving_share: float = 0.5
    checks_fencing: bool = False

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may be run more than once."""
        return not any(
            pattern.matches(method, path) for pattern in self.not_repeatable
        )


class Bundle(msgspec.Struct, frozen=True):
    """The configuration that the partners sign."""

    name: str
    partners: list[Partner]
    callers: list[Caller]
    trainers: list[Trainer]
    upstreams: list[Upstream]

    def find_caller(self, name: str) -> Caller | None:
        """Return the caller of a name, None when it is not defined."""
        return next((c for c in self.callers if c.name == name), None)

    def find_trainer(self, name: str) -> Trainer | None:
        """Return the trainer of a name, None when it is not defined."""
        return next((t for t in self.trainers if t.name == name), None)

    def find_upstream(self, name: str) -> Upstream | None:
        """Return the upstream of a name, None when it is not defined."""
        return next((u for u in self.upstreams if u.name == name), None)

    def get_public_keys(self) -> dict[str, str]:
        """Return the public keys by partner name."""
        return {partner.name: partner.public_key for partner in self.partners}


class Release(msgspec.Struct, frozen=True):
    """A bundle and its place in the sequence of versions.

    `previous` is the digest of the previous version, empty for the first;
    `epoch` counts the changes of the partners' keys.
    """

    version: int
    previous: str
    epoch: int
    bundle: Bundle

    def encode(self) -> bytes:
        """Return the canonical JSON encoding, of which the digest is made."""
        return msgspec.json.encode(self, order="sorted")

    def compute_digest(self) -> str:
        """Return the SHA-256 of the canonical encoding, in hex."""
        return sha256(self.encode()).hexdigest()


class Signature(msgspec.Struct, frozen=True):
    """A partner's Ed25519 signature of a digest, in base64."""

    partner: str
    public_key: str
    signature: str


class Envelope(msgspec.Struct, frozen=True):
    """A release with its signatures.

    `writer` is unique to one roll of the release; `rolled_at_s` is
    wall-clock seconds.
    """

    release: Release
    signatures: list[Signature] = []
    writer: str = ""
    rolled_at_s: float = 0.0
