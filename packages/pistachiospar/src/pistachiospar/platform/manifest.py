"""The operator's configuration in the platform's store."""

import msgspec
from result import Err
from result import Ok
from result import Result

from . import const
from ..helpers.decoding import DECODE_ERRORS
from ..routing.models import CallerLimits
from ..routing.models import CallKind
from ..routing.models import Route
from ..routing.models import RouteTable
from ..routing.models import UpstreamConfig
from ..routing.models import UpstreamShare
from .organisations import conceal_keys
from .organisations import find_concealed_error
from .organisations import read_organisations

_KINDS_BY_NAME = {kind.value: kind for kind in CallKind}
_KIND_STREAM = "stream"


class SplitMessage(msgspec.Struct):
    """A service and its relative weight in a split route."""

    service: str
    weight: float


class RouteMessage(msgspec.Struct):
    """One route; `maxAgeS` is in seconds, the other times are in ms."""

    name: str
    host: str
    prefix: str
    kind: str = "safe"
    timeoutMs: float = 10_000
    targetLatencyMs: float = 1000
    priority: int = 5
    maxAttempts: int = 1
    service: str = ""
    split: list[SplitMessage] = []
    resumable: bool = False
    stream: bool = False
    resultDueMs: float = 0
    maxAgeS: float = 0
    singleVersion: bool = False
    public: bool = False


class ModelMessage(msgspec.Struct):
    """A model that an engine serves."""

    name: str


class EngineMessage(msgspec.Struct):
    """The engine of a service; plain services have none."""

    models: list[ModelMessage] = []


class ServiceMessage(msgspec.Struct):
    """A service, which is an upstream in other parts of the code."""

    name: str
    maxConns: int = 100
    engine: EngineMessage | None = None


class LimitsMessage(msgspec.Struct):
    """Limits on the requests of callers."""

    maxHeaderBytes: int = 16_384
    maxBodyBytes: int = 33_554_432
    headerTimeoutMs: float = 3000
    idleTimeoutMs: float = 15_000


class ConfigMessage(msgspec.Struct):
    """The complete configuration."""

    version: int
    routes: list[RouteMessage]
    services: list[ServiceMessage]
    limits: LimitsMessage
    tenants: msgspec.Raw = msgspec.Raw(b"null")


class NamedVersionMessage(msgspec.Struct):
    """The weight version that a model should serve."""

    model: str
    version: int


def read_table(value: bytes) -> Result[RouteTable, str]:
    """Decode the configuration; the Err says what is invalid."""
    value = conceal_keys(value)
    try:
        error = find_concealed_error(value)
        if error is not None:
            return Err(error)
        message = msgspec.json.decode(value, type=ConfigMessage)
        organisations = read_organisations(bytes(message.tenants))
    except (*DECODE_ERRORS, ValueError) as invalid:
        return Err(str(invalid))
    routes = tuple(read_route(route) for route in message.routes)
    upstreams = {s.name: read_upstream(s) for s in message.services}
    limits = read_limits(message.limits)
    return Ok(
        RouteTable(message.version, routes, upstreams, limits, organisations)
    )


def conceal_secrets(key: str, value: bytes) -> bytes:
    """Return a key's value without the secrets that it may have."""
    return conceal_keys(value) if key == const.KEY_CONFIG else value


def read_named_version(value: bytes) -> Result[tuple[str, int], str]:
    """Decode a trainer's named version; return the model and the version."""
    try:
        message = msgspec.json.decode(value, type=NamedVersionMessage)
    except DECODE_ERRORS as error:
        return Err(str(error))
    return Ok((message.model, message.version))


def is_known_kind(name: str) -> bool:
    """Return whether the kind of a route is known."""
    return name in _KINDS_BY_NAME or name == _KIND_STREAM


def read_limits(message: LimitsMessage) -> CallerLimits:
    """Convert the limits on callers, with times in seconds."""
    return CallerLimits(
        message.maxHeaderBytes,
        message.maxBodyBytes,
        message.headerTimeoutMs / 1000,
        message.idleTimeoutMs / 1000,
    )


def read_route(message: RouteMessage) -> Route:
    """Convert a route to its data class, with times in seconds."""
    split = message.split or [SplitMessage(message.service, 1.0)]
    # A kind that this version doesn't know must not be repeated.
    kind = _KINDS_BY_NAME.get(message.kind, CallKind.UNSAFE)
    return Route(
        message.name,
        message.host,
        message.prefix,
        kind,
        tuple(UpstreamShare(s.service, s.weight) for s in split),
        message.timeoutMs / 1000,
        message.targetLatencyMs / 1000,
        message.priority,
        max(1, message.maxAttempts),
        message.resumable,
        message.stream or message.kind == _KIND_STREAM,
        message.resultDueMs / 1000,
        message.maxAgeS,
        message.singleVersion,
        message.public,
    )


def read_upstream(message: ServiceMessage) -> UpstreamConfig:
    """Convert a service to the configuration of an upstream."""
    models = message.engine.models if message.engine else []
    names = tuple(model.name for model in models)
    return UpstreamConfig(message.name, message.maxConns, names)
