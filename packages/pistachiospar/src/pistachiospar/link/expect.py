"""Support narrowing a control reply to the kind that was asked for."""

from result import Err
from result import Ok
from result import Result

from .messages import BundlePush
from .messages import ControlReply
from .messages import Settlement
from .messages import Status


def expect_status(reply: Result[ControlReply, str]) -> Result[Status, str]:
    """Return the status, or why there is none."""
    match reply:
        case Ok(Status() as status):
            return Ok(status)
        case Err():
            return reply
    return Err("not a status")


def expect_bundle(
    reply: Result[ControlReply, str],
) -> Result[BundlePush, str]:
    """Return the bundle, or why there is none."""
    match reply:
        case Ok(BundlePush() as push):
            return Ok(push)
        case Err():
            return reply
    return Err("not a bundle")


def expect_settlement(
    reply: Result[ControlReply, str],
) -> Result[Settlement, str]:
    """Return the settlement, or why there is none."""
    match reply:
        case Ok(Settlement() as settlement):
            return Ok(settlement)
        case Err():
            return reply
    return Err("not a settlement")
