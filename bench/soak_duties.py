"""The interface for usage reports in a soak, and checks of its calls."""

import msgspec
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.duties.models import DutyOutcome
from pistachiospar.platform.cloud import UsageMessage
from pistachiospar.platform import const
from pistachiospar_standins.fakes.cloud import DutyArrival
from pistachiospar_standins.fakes.cloud import FakeCloud
from pistachiospar_standins.fakes.cloud import USAGE
import trio

WINDOW_S = 2.0
STATUSES = {DutyOutcome.DONE: 200, DutyOutcome.FENCED: 409}


class DutyHandler:
    """HTTP handler that carries out the calls for duties."""

    def __init__(self, cloud: FakeCloud) -> None:
        """Carry out calls at the fake."""
        self._cloud = cloud

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Carry out one call."""
        arrival = DutyArrival(
            trio.current_time(),
            request.headers.get(const.HEADER_DUTY_HOLDER.lower(), ""),
            int(request.headers.get(const.HEADER_FENCE_TOKEN.lower(), "0")),
            USAGE,
            request.body,
        )
        outcome = self._cloud.carry_out(arrival)
        await exchange.send_response(STATUSES[outcome], [], b"")


def find_duty_violations(arrivals: list[DutyArrival]) -> list[str]:
    """Return the windows with two values and the fences of two holders."""
    violations = []
    bodies: dict[int, bytes] = {}
    holders: dict[int, str] = {}
    for arrival in arrivals:
        window = msgspec.json.decode(arrival.body, type=UsageMessage).window
        if bodies.setdefault(window, arrival.body) != arrival.body:
            violations.append(f"window {window} has two reports")
        if holders.setdefault(arrival.fence, arrival.holder) != arrival.holder:
            violations.append(f"two holders used fence {arrival.fence}")
    return violations
