"""Support the encoding of the link's messages."""

from base64 import b64decode
from base64 import b64encode
import binascii
from typing import Final

import msgspec
from result import Err
from result import Ok
from result import Result

from .messages import ControlReply
from .messages import ControlRequest
from .messages import RunOrder
from .messages import RunReply

_ENCODER: Final = msgspec.msgpack.Encoder()
_ORDER: Final = msgspec.msgpack.Decoder(RunOrder)
_REPLY: Final = msgspec.msgpack.Decoder(RunReply)
_CONTROL_REQUEST: Final = msgspec.msgpack.Decoder(ControlRequest)
_CONTROL_REPLY: Final = msgspec.msgpack.Decoder(ControlReply)


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode any message."""
    return _ENCODER.encode(message)


def encode_header(message: msgspec.Struct) -> str:
    """Encode a message for an HTTP header."""
    return b64encode(_ENCODER.encode(message)).decode("ascii")


def decode_order(header: str) -> Result[RunOrder, str]:
    """Decode a run order from its header."""
    try:
        return Ok(_ORDER.decode(b64decode(header)))
    except (msgspec.MsgspecError, binascii.Error) as error:
        return Err(str(error))


def decode_reply(header: str) -> Result[RunReply, str]:
    """Decode a run reply from its header."""
    try:
        return Ok(_REPLY.decode(b64decode(header)))
    except (msgspec.MsgspecError, binascii.Error) as error:
        return Err(str(error))


def decode_control_request(data: bytes) -> Result[ControlRequest, str]:
    """Decode what an entry asks on the control channel."""
    try:
        return Ok(_CONTROL_REQUEST.decode(data))
    except msgspec.MsgspecError as error:
        return Err(str(error))


def decode_control_reply(data: bytes) -> Result[ControlReply, str]:
    """Decode what a sidecar answers on the control channel."""
    try:
        return Ok(_CONTROL_REPLY.decode(data))
    except msgspec.MsgspecError as error:
        return Err(str(error))
