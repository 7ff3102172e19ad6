"""Support making a key-value call that is held in a message."""

from typing import Protocol

from result import Err
from result import Ok
from result import Result

from . import messages
from ..ports.kv import KeyValue
from ..ports.kv import KvError
from .base import Changes


class PollingKeyValue(KeyValue, Protocol):
    """Reach a key-value service whose watch is a call that waits."""

    async def poll(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Changes, KvError]:
        """Return the changes after a revision, and where to go on."""


async def make_call(
    kv: PollingKeyValue, call: messages.KvCall
) -> messages.KvReply:
    """Make a call and hold what came of it."""
    match call:
        case messages.ListCall(prefix):
            listed = await kv.list_items(prefix)
            if isinstance(listed, Ok):
                items, number = listed.ok_value
                return messages.KvReply(items=items, number=number)
            return _fail(listed)
        case messages.GetCall(key):
            got = await kv.get_item(key)
            if isinstance(got, Ok):
                item = got.ok_value
                return messages.KvReply(items=[item] if item else [])
            return _fail(got)
        case messages.CommitCall(transaction):
            written = await kv.commit(transaction)
            if isinstance(written, Ok):
                outcome = written.ok_value
                return messages.KvReply(
                    won=outcome.won, number=outcome.revision
                )
            return _fail(written)
        case messages.GrantCall(ttl_s):
            granted = await kv.grant_lease(ttl_s)
            if isinstance(granted, Ok):
                return messages.KvReply(number=granted.ok_value)
            return _fail(granted)
        case messages.KeepCall(lease):
            kept = await kv.renew_lease(lease)
            if isinstance(kept, Ok):
                return messages.KvReply(seconds=kept.ok_value)
            return _fail(kept)
        case messages.RevokeCall(lease):
            revoked = await kv.revoke_lease(lease)
            if isinstance(revoked, Ok):
                return messages.KvReply()
            return _fail(revoked)
        case messages.PollCall(prefix, after, wait_s):
            polled = await kv.poll(prefix, after, wait_s)
            if isinstance(polled, Ok):
                events, number = polled.ok_value
                return messages.KvReply(events=events, number=number)
            return _fail(polled)


def _fail(answer: Err[KvError]) -> messages.KvReply:
    """Hold a fault."""
    error = answer.err_value
    return messages.KvReply(fault=error.fault, detail=error.detail)
