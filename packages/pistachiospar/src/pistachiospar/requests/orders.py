"""Run orders, and the tracking of those in flight at a sidecar."""

from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import sha256

from . import const
from ..const import MS_PER_S
from ..link.messages import OrderKind
from ..link.messages import Refused
from ..link.messages import RunOrder
from ..membership.attempts import Attempt
from ..membership.sidecar_peer import SidecarPeer
from .models import CallerRequest


def make_run_order(
    request: CallerRequest, peer: SidecarPeer, order_id: str, now: float
) -> RunOrder | None:
    """Return the order of one attempt; None if the deadline has passed."""
    timeout_ms = int((request.deadline - now) * MS_PER_S)
    if timeout_ms <= 0:
        return None
    status = peer.view.status
    digest = ""
    if request.key:
        digest = sha256(request.body).hexdigest()[
            : const.BODY_DIGEST_CHARACTERS
        ]
    return RunOrder(
        request_id=order_id,
        incarnation=status.incarnation if status else "",
        upstream=request.upstream.name,
        kind=request.kind,
        method=request.method,
        path=request.path,
        caller=request.caller.name,
        partner=request.caller.partner,
        priority=request.caller.priority,
        timeout_ms=timeout_ms,
        tokens=request.tokens,
        repeatable=request.repeatable,
        key=request.key,
        model=request.model,
        min_version=request.min_version,
        content_type=request.content_type,
        body_digest=digest,
    )


@contextmanager
def count_in_flight(
    peer: SidecarPeer, request: CallerRequest
) -> Iterator[None]:
    """Count a request as in flight at an instance within the context."""
    view = peer.view
    call_tokens = request.tokens if request.kind is OrderKind.CALL else 0
    view.in_flight += 1
    view.in_flight_tokens += request.tokens
    view.call_tokens += call_tokens
    try:
        yield
    finally:
        view.in_flight -= 1
        view.in_flight_tokens -= request.tokens
        view.call_tokens -= call_tokens


@contextmanager
def track_attempt(
    peer: SidecarPeer, order_id: str, now: float
) -> Iterator[Attempt]:
    """Let the link's heartbeats query an attempt within the context."""
    attempt = Attempt(order_id, now)
    peer.attempts[order_id] = attempt
    try:
        yield attempt
    finally:
        peer.attempts.pop(order_id, None)


def record_refusal(
    peer: SidecarPeer, order: RunOrder, refused: Refused
) -> None:
    """Update the instance's view at once, ahead of the next heartbeat."""
    if refused.draining:
        peer.view.draining = True
    if not refused.ready or refused.incarnation != order.incarnation:
        peer.view.missed_heartbeats = max(peer.view.missed_heartbeats, 1)
        peer.request_heartbeat()
