"""Execution of key-value calls that arrive as messages."""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import msgspec
from result import Err
from result import Ok
from result import Result

from . import messages
from ..ports.kv import KeyValue
from ..ports.kv import KvError
from ..ports.kv import KvFault
from .base import ChangeBatch


class PollableKeyValue(KeyValue, Protocol):
    """A key-value service that supports long polling."""

    async def poll(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[ChangeBatch, KvError]:
        """Return the changes after a revision, and the revision reached."""


async def execute_call(
    kv: PollableKeyValue, call: messages.KvCall
) -> messages.KvReply:
    """Execute a call; return its result, or its fault, as a reply."""
    match call:
        case messages.ListCall(prefix):
            listed = await kv.list_items(prefix)
            if isinstance(listed, Ok):
                items, number = listed.ok_value
                return messages.KvReply(items=items, number=number)
            return _make_fault_reply(listed)
        case messages.GetCall(key):
            got = await kv.get_item(key)
            if isinstance(got, Ok):
                item = got.ok_value
                return messages.KvReply(items=[item] if item else [])
            return _make_fault_reply(got)
        case messages.CommitCall(transaction):
            written = await kv.commit(transaction)
            if isinstance(written, Ok):
                outcome = written.ok_value
                return messages.KvReply(
                    won=outcome.won, number=outcome.revision
                )
            return _make_fault_reply(written)
        case messages.GrantCall(ttl_s):
            granted = await kv.grant_lease(ttl_s)
            if isinstance(granted, Ok):
                return messages.KvReply(number=granted.ok_value)
            return _make_fault_reply(granted)
        case messages.RenewCall(lease):
            renewed = await kv.renew_lease(lease)
            if isinstance(renewed, Ok):
                return messages.KvReply(seconds=renewed.ok_value)
            return _make_fault_reply(renewed)
        case messages.RevokeCall(lease):
            revoked = await kv.revoke_lease(lease)
            if isinstance(revoked, Ok):
                return messages.KvReply()
            return _make_fault_reply(revoked)
        case messages.PollCall(prefix, after, wait_s):
            polled = await kv.poll(prefix, after, wait_s)
            if isinstance(polled, Ok):
                events, number = polled.ok_value
                return messages.KvReply(events=events, number=number)
            return _make_fault_reply(polled)


async def execute_for_peer(
    kv: PollableKeyValue,
    call: messages.KvCall,
    is_store_lost: bool,
    conceal: Callable[[str, bytes], bytes],
) -> messages.KvReply:
    """Execute a peer's call, unless this gateway lacks contact as well.

    Otherwise each call in an outage would become several. `conceal` returns
    a key's value without secrets, which peers don't get.
    """
    if is_store_lost:
        return messages.KvReply(
            fault=KvFault.NOT_SENT, detail="the peer has no contact either"
        )
    reply = await execute_call(kv, call)
    return msgspec.structs.replace(
        reply,
        items=[
            replace(item, value=conceal(item.key, item.value))
            for item in reply.items
        ],
        events=[
            replace(event, value=conceal(event.key, event.value))
            if event.value is not None
            else event
            for event in reply.events
        ],
    )


def _make_fault_reply(failed: Err[KvError]) -> messages.KvReply:
    """Return a reply with the fault of a failed call."""
    error = failed.err_value
    return messages.KvReply(fault=error.fault, detail=error.detail)
