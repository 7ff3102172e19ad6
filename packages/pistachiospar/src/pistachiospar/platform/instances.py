"""Support the upstream instances that register in the platform's store."""

import msgspec
from result import Err
from result import Ok
from result import Result

from ..adapters.http.client import parse_address
from . import const
from ..routing.instances import ListedInstance


class HeldModelMessage(msgspec.Struct):
    """Name a model and the version of its weights."""

    name: str
    version: int


class InstanceMessage(msgspec.Struct):
    """Hold an instance's entry; `born` is a Unix time in ms.

    Its `version` is its software's, its `sequence` counts its own writes;
    neither says a thing about weights or orders, and both are left out.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int = 0
    models: list[HeldModelMessage] = []


def read_instance(key: str, value: bytes) -> Result[ListedInstance, str]:
    """Decode an entry; one that can't be read names no instance."""
    try:
        message = msgspec.json.decode(value, type=InstanceMessage)
        address = parse_address(message.address)
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(str(error))
    if message.state not in ("ready", "draining"):
        return Err(f"unknown state {message.state!r}")
    return Ok(
        ListedInstance(
            key.removeprefix(const.PREFIX_INSTANCES),
            message.service,
            address,
            message.zone,
            message.slots,
            message.state == "draining",
            message.born,
            {model.name: model.version for model in message.models},
        )
    )


def encode_retired() -> bytes:
    """Encode the word that a retired instance holds nothing any more."""
    return msgspec.json.encode({"state": "completed"})
