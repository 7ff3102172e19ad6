"""Headers of calls to samplers and of their responses."""

from typing import Final

from ..adapters.http.models import Headers
from . import const
from ..ports.sampler import SamplerCall
from ..routing.instances import ListedInstance

_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_RESERVED_HEADERS: Final = _HOP_BY_HOP_HEADERS | {
    const.HEADER_DEADLINE_MS,
    const.HEADER_REQUEST_ID,
    const.HEADER_EXPECT_INSTANCE.lower(),
    const.HEADER_EXPECT_VERSION.lower(),
    const.HEADER_LAST_EVENT_ID.lower(),
    const.HEADER_REQUEST_PRIORITY.lower(),
}
_ORGANISATION_HEADERS: Final = frozenset(
    (const.HEADER_AUTHORIZATION, const.HEADER_TENANT)
)


def strip_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return the end-to-end headers."""
    return [(n, v) for n, v in headers if n.lower() not in _HOP_BY_HOP_HEADERS]


def make_headers(instance: ListedInstance, call: SamplerCall) -> Headers:
    """Return the headers of a call: the caller's and this service's."""
    reserved = _RESERVED_HEADERS
    if call.organisation is not None:
        reserved |= _ORGANISATION_HEADERS
    headers = [(n, v) for n, v in call.headers if n.lower() not in reserved]
    if call.organisation:
        headers.append(("Tenant", call.organisation))
    if call.request_id:
        headers.append(("Request-Id", call.request_id))
    headers.append((const.HEADER_EXPECT_INSTANCE, instance.name))
    headers.append(("Deadline-Ms", str(max(1, int(call.remaining_s * 1000)))))
    if call.expected_version is not None:
        version = str(call.expected_version)
        headers.append((const.HEADER_EXPECT_VERSION, version))
    if call.after_event is not None:
        headers.append((const.HEADER_LAST_EVENT_ID, str(call.after_event)))
    if call.priority is not None:
        headers.append((const.HEADER_REQUEST_PRIORITY, str(call.priority)))
    return headers
