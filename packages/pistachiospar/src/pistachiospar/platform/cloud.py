"""Client of the interface for usage reports and numbers of instances."""

import msgspec

from ..adapters.http.address import Address
from ..adapters.http.client import HttpPool
from ..adapters.http.errors import HttpError
from . import const
from ..const import CONTENT_TYPE_JSON
from ..duties.models import DutyOutcome
from ..telemetry.logs import log_event

_OUTCOMES = {
    200: DutyOutcome.DONE,
    409: DutyOutcome.FENCED,
    429: DutyOutcome.LIMITED,
}


class UsageMessage(msgspec.Struct):
    """The calls of a window by organisation."""

    window: int
    counts: dict[str, int]


class ScaleMessage(msgspec.Struct):
    """The number of instances of a service in a zone."""

    service: str
    zone: str
    targetGroups: int


class CloudClient:
    """Duty calls over HTTP; the caller bounds their time."""

    def __init__(self, address: Address, holder: str) -> None:
        """Call as the gateway `holder`; nothing is connected yet."""
        self._pool = HttpPool(address, const.CONNECT_TIMEOUT_S)
        self._holder = holder

    def encode_usage(self, window: int, counts: dict[str, int]) -> bytes:
        """Encode a report; equal counts give equal bytes."""
        return msgspec.json.encode(
            UsageMessage(window, dict(sorted(counts.items())))
        )

    async def report_usage(self, fence: int, body: bytes) -> DutyOutcome:
        """Report the calls of a window, as encoded."""
        return await self._post(const.PATH_USAGE, fence, body)

    async def set_instances(
        self, fence: int, upstream: str, zone: str, number: int
    ) -> DutyOutcome:
        """Set the number of instances of an upstream in a zone."""
        body = msgspec.json.encode(ScaleMessage(upstream, zone, number))
        return await self._post(const.PATH_SCALE, fence, body)

    async def _post(self, path: str, fence: int, body: bytes) -> DutyOutcome:
        """Make one call; one without a known response counts as FAILED."""
        headers = [
            ("Content-Type", CONTENT_TYPE_JSON),
            (const.HEADER_DUTY_HOLDER, self._holder),
            (const.HEADER_FENCE_TOKEN, str(fence)),
        ]
        try:
            response = await self._pool.fetch("POST", path, headers, body)
        except HttpError as error:
            log_event("duty_call_lost", path=path, error=str(error))
            return DutyOutcome.FAILED
        outcome = _OUTCOMES.get(response.status, DutyOutcome.FAILED)
        if outcome is DutyOutcome.FAILED:
            log_event("duty_call_refused", path=path, status=response.status)
        return outcome
