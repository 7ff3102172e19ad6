"""Narrowing of a control reply to the type that the request calls for."""

from result import Err
from result import Ok
from result import Result

from .messages import BundlePush
from .messages import ControlReply
from .messages import Settlement
from .messages import Status


def expect_status(reply: Result[ControlReply, str]) -> Result[Status, str]:
    """Return the status, or an Err for an error or another reply."""
    match reply:
        case Ok(Status() as status):
            return Ok(status)
        case Err():
            return reply
    return Err("the control reply is not a status")


def expect_bundle(
    reply: Result[ControlReply, str],
) -> Result[BundlePush, str]:
    """Return the bundle, or an Err for an error or another reply."""
    match reply:
        case Ok(BundlePush() as push):
            return Ok(push)
        case Err():
            return reply
    return Err("the control reply is not a bundle")


def expect_settlement(
    reply: Result[ControlReply, str],
) -> Result[Settlement, str]:
    """Return the settlement, or an Err for an error or another reply."""
    match reply:
        case Ok(Settlement() as settlement):
            return Ok(settlement)
        case Err():
            return reply
    return Err("the control reply is not a settlement")
