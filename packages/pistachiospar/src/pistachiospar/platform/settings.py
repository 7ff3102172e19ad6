"""The platform's settings file, in YAML."""

from dataclasses import dataclass
import os

import msgspec
from result import Err
from result import Ok
from result import Result

from ..adapters.http.address import Address
from ..adapters.http.address import parse_address
from . import const
from ..duties.const import DEFAULT_CALLS_PER_S
from ..duties.models import DutySettings


class ListenMessage(msgspec.Struct):
    """Addresses to listen at; an empty one is not served."""

    front: str = ""
    ready: str = ""


class LimitsMessage(msgspec.Struct):
    """Limits of the machine."""

    cpuShare: float = 1.0
    cores: float = 1
    memoryMb: float = 256
    maxFds: int = 1024


class BoundsMessage(msgspec.Struct):
    """Bounds that hold for the whole deployment."""

    stableMs: float = 3000
    drainMs: float = 2000
    graceS: float = 8
    cancelMs: float = 3000
    leaseMs: float = 3000
    statusS: float = 120
    requireFence: bool = True
    configApplyMs: float = 3000
    strictRevoke: bool = False
    revokeMs: float = 5000
    reportWindowS: float = 5
    usageLateS: float = 10


class StoreMessage(msgspec.Struct):
    """Address and limits of the platform's store."""

    address: str
    valueBytes: int = 1_048_576
    ttlMinMs: float = 1000


class CloudMessage(msgspec.Struct):
    """Address of the duties' interface, duties and limit of calls."""

    address: str = ""
    duties: list[str] = []
    dutyPerS: float = DEFAULT_CALLS_PER_S


class SettingsMessage(msgspec.Struct):
    """Settings of one process; unknown fields are ignored."""

    node: str
    zone: str
    ip: str
    platform: StoreMessage
    listen: ListenMessage = msgspec.field(default_factory=ListenMessage)
    internalPorts: list[int] = []
    heartbeatMs: float = 1200
    bootstrap: bool = False
    limits: LimitsMessage = msgspec.field(default_factory=LimitsMessage)
    bounds: BoundsMessage = msgspec.field(default_factory=BoundsMessage)
    cloud: CloudMessage | None = None


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway; times are in seconds, sizes in bytes.

    `cpu_capacity` is the gateway's share of a core times the core's speed.
    A configuration has to be in force after `config_apply_s`. Without contact
    to the store, a removed key may be accepted for `revoke_s`, None for any
    time.
    """

    name: str
    zone: str
    store: Address
    listen: Address | None
    ready: Address | None
    peer: Address
    metrics_port: int
    value_bytes: int
    lease_s: float
    grace_s: float
    result_retention_s: float
    cpu_capacity: float
    memory_mb: float
    max_descriptors: int
    is_first_start: bool = False
    config_apply_s: float = 3.0
    revoke_s: float | None = None
    duties: DutySettings | None = None


def find_settings_file() -> str:
    """Return the path in the environment variable, or the default path."""
    return os.environ.get(const.SETTINGS_VARIABLE, const.SETTINGS_FILE)


def read_gateway(file: str) -> Result[GatewaySettings, str]:
    """Read a settings file; the Err names the file and the cause."""
    try:
        with open(file, "rb") as stream:
            message = _decode_settings(stream.read())
        return Ok(_make_settings(message))
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        return Err(f"{file}: {error}")


def _decode_settings(encoded: bytes) -> SettingsMessage:
    """Decode JSON, or else YAML; raises MsgspecError.

    JSON is YAML too, but a start with it doesn't load the YAML parser.
    """
    if encoded.lstrip().startswith(b"{"):
        try:
            return msgspec.json.decode(encoded, type=SettingsMessage)
        except msgspec.DecodeError:
            # A YAML mapping may begin with a brace, too.
            pass
    return msgspec.yaml.decode(encoded, type=SettingsMessage)


def _make_settings(message: SettingsMessage) -> GatewaySettings:
    """Convert the settings; raises ValueError for a bad address."""
    listen = message.listen
    first_port, *_ = message.internalPorts or [0]
    bounds = message.bounds
    return GatewaySettings(
        message.node,
        message.zone,
        parse_address(message.platform.address),
        parse_address(listen.front) if listen.front else None,
        parse_address(listen.ready) if listen.ready else None,
        Address(message.ip, first_port),
        first_port + 1,
        message.platform.valueBytes,
        max(bounds.leaseMs, message.platform.ttlMinMs) / 1000,
        bounds.graceS,
        bounds.statusS,
        message.limits.cpuShare * message.limits.cores,
        message.limits.memoryMb,
        message.limits.maxFds,
        message.bootstrap,
        bounds.configApplyMs / 1000,
        bounds.revokeMs / 1000 if bounds.strictRevoke else None,
        _make_duties(message.cloud, bounds),
    )


def _make_duties(
    cloud: CloudMessage | None, bounds: BoundsMessage
) -> DutySettings | None:
    """Convert the settings of duties; None when there are none.

    Raises ValueError for a bad address or a bound that isn't positive.
    """
    if cloud is None or not cloud.address or not cloud.duties:
        return None
    for name, value in (
        ("dutyPerS", cloud.dutyPerS),
        ("reportWindowS", bounds.reportWindowS),
        ("usageLateS", bounds.usageLateS),
    ):
        if not value > 0:
            raise ValueError(f"{name} must be positive, not {value}")
    return DutySettings(
        parse_address(cloud.address),
        tuple(cloud.duties),
        cloud.dutyPerS,
        bounds.reportWindowS,
        bounds.usageLateS,
    )
