"""Data classes of a bundle in force and messages that carry it."""

from enum import Enum
from fnmatch import fnmatchcase
from hashlib import sha256

import msgspec


class UpstreamKind(Enum):
    """Tell model engines from plain services."""

    ENGINE = "engine"
    PLAIN = "plain"


class Partner(msgspec.Struct, frozen=True):
    """Describe a partner; `public_key` is Ed25519, base64."""

    name: str
    public_key: str
    share: float


class Caller(msgspec.Struct, frozen=True):
    """Describe an interactive caller; a lower priority goes first."""

    name: str
    partner: str
    priority: int


class Trainer(msgspec.Struct, frozen=True):
    """Describe a trainer; staleness is a lag in weight versions."""

    name: str
    partner: str
    priority: int
    upstream: str
    max_version_lag: int


class CallPattern(msgspec.Struct, frozen=True):
    """Match calls by method and path; `*` matches any characters."""

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call matches."""
        return fnmatchcase(method, self.method) and fnmatchcase(
            path, self.path
        )


class Upstream(msgspec.Struct, frozen=True):
    """Describe an upstream; timeouts are in milliseconds."""

    name: str
    kind: UpstreamKind
    default_timeout_ms: int
    max_timeout_ms: int
    not_repeatable: list[CallPattern] = []
    min_serving_share: float = 0.5
    checks_fencing: bool = False

    def may_repeat(self, method: str, path: str) -> bool:
        """Return whether a call may be run more than once."""
        return not any(
            pattern.matches(method, path) for pattern in self.not_repeatable
        )


class Bundle(msgspec.Struct, frozen=True):
    """Hold the configuration that the partners sign off."""

    name: str
    partners: list[Partner]
    callers: list[Caller]
    trainers: list[Trainer]
    upstreams: list[Upstream]

    def find_caller(self, name: str) -> Caller | None:
        """Return the caller of a name."""
        return next((c for c in self.callers if c.name == name), None)

    def find_trainer(self, name: str) -> Trainer | None:
        """Return the trainer of a name."""
        return next((t for t in self.trainers if t.name == name), None)

    def find_upstream(self, name: str) -> Upstream | None:
        """Return the upstream of a name."""
        return next((u for u in self.upstreams if u.name == name), None)

    def public_keys(self) -> dict[str, str]:
        """Return the public key of each partner."""
        return {partner.name: partner.public_key for partner in self.partners}


class Release(msgspec.Struct, frozen=True):
    """Hold a bundle with its place in the sequence of versions.

    `previous` is the digest of the version before it, empty for the first;
    `epoch` counts the changes of the partners' keys.
    """

    version: int
    previous: str
    epoch: int
    bundle: Bundle

    def encode(self) -> bytes:
        """Return the canonical encoding that is signed."""
        return msgspec.json.encode(self, order="sorted")

    def digest(self) -> str:
        """Return the SHA-256 of the canonical encoding, in hex."""
        return sha256(self.encode()).hexdigest()


class Signature(msgspec.Struct, frozen=True):
    """Hold a partner's Ed25519 signature of a digest, base64."""

    partner: str
    public_key: str
    signature: str


class Envelope(msgspec.Struct, frozen=True):
    """Carry a release with its signatures.

    `writer` is unique to one attempt to roll it; `rolled_at_s` is the wall
    clock, in seconds.
    """

    release: Release
    signatures: list[Signature] = []
    writer: str = ""
    rolled_at_s: float = 0.0
