"""MessagePack encoding of the link's messages."""

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
_ORDER_DECODER: Final = msgspec.msgpack.Decoder(RunOrder)
_REPLY_DECODER: Final = msgspec.msgpack.Decoder(RunReply)
_CONTROL_REQUEST_DECODER: Final = msgspec.msgpack.Decoder(ControlRequest)
_CONTROL_REPLY_DECODER: Final = msgspec.msgpack.Decoder(ControlReply)


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message as MessagePack."""
    return _ENCODER.encode(message)


def encode_header(message: msgspec.Struct) -> str:
    """Encode a message as base64, for an HTTP header."""
    return b64encode(_ENCODER.encode(message)).decode("ascii")


def decode_order(header: str) -> Result[RunOrder, str]:
    """Decode a run order from its header; an Err says why it can't."""
    try:
        return Ok(_ORDER_DECODER.decode(b64decode(header)))
    except (msgspec.MsgspecError, binascii.Error) as error:
        return Err(str(error))


def decode_reply(header: str) -> Result[RunReply, str]:
    """Decode a run reply from its header; an Err says why it can't."""
    try:
        return Ok(_REPLY_DECODER.decode(b64decode(header)))
    except (msgspec.MsgspecError, binascii.Error) as error:
        return Err(str(error))


def decode_control_request(data: bytes) -> Result[ControlRequest, str]:
    """Decode an entry's request on the control channel."""
    try:
        return Ok(_CONTROL_REQUEST_DECODER.decode(data))
    except msgspec.MsgspecError as error:
        return Err(str(error))


def decode_control_reply(data: bytes) -> Result[ControlReply, str]:
    """Decode a sidecar's reply on the control channel."""
    try:
        return Ok(_CONTROL_REPLY_DECODER.decode(data))
    except msgspec.MsgspecError as error:
        return Err(str(error))
