"""Upstream instances that register in the platform's store."""

import re
from typing import Annotated
from typing import Final

import msgspec
from result import Err
from result import Ok
from result import Result

from ..adapters.http.address import parse_address
from . import const
from ..helpers.decoding import DECODE_ERRORS
from ..routing.instances import ListedInstance

MAX_NAME_CHARACTERS: Final = 256
MAX_SLOTS: Final = 1_000_000
# Larger numbers can't be sent to other gateways.
MAX_NUMBER: Final = 2**53
# A name is sent in a header.
_HEADER_TEXT_PATTERN: Final = re.compile("[!-~]([ -~]*[!-~])?")

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Number = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
SlotCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class HeldModelMessage(msgspec.Struct):
    """A model and the version of its weights."""

    name: Name
    version: Number


class InstanceMessage(msgspec.Struct):
    """An instance's registration; `born` is a Unix time in ms.

    `version` is the version of the instance's software. The field `sequence`
    is left out: it is the number of the instance's writes.
    """

    service: Name
    address: Name
    zone: Name
    slots: SlotCount
    state: str
    version: Name
    born: Number = 0
    models: list[HeldModelMessage] = []


def read_instance(key: str, value: bytes) -> Result[ListedInstance, str]:
    """Decode a registration; the Err says what is invalid.

    Whoever can write to the store can write one, so nothing in it is trusted.
    """
    name = key.removeprefix(const.PREFIX_INSTANCES)
    if not _HEADER_TEXT_PATTERN.fullmatch(name):
        return Err("the name can't be sent in a header")
    try:
        message = msgspec.json.decode(value, type=InstanceMessage)
        address = parse_address(message.address)
    except (*DECODE_ERRORS, ValueError) as error:
        return Err(str(error))
    if message.state not in ("ready", "draining"):
        return Err(f"unknown state {message.state[:MAX_NAME_CHARACTERS]!r}")
    return Ok(
        ListedInstance(
            name,
            message.service,
            address,
            message.zone,
            message.slots,
            message.state == "draining",
            message.born,
            {model.name: model.version for model in message.models},
            message.version,
        )
    )


def encode_retired() -> bytes:
    """Encode the status that a retired instance has no work left."""
    return msgspec.json.encode({"state": "completed"})
