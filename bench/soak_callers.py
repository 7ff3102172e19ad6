"""Callers of a soak that keep their connections until the process is gone."""

from collections.abc import Callable
from dataclasses import dataclass

from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import ConnectError
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
from pistachiospar_standins.fakes.samplers import RunRecord
import trio

from .soak_keys import AUTHORIZATION

CALL_INTERVAL_S = 0.1
# A route's time is 2 s.
CALL_TIMEOUT_S = 4.0
RECONNECT_DELAY_S = 0.2
# A call is also harmed by a signal that came shortly before it was sent.
HARM_MARGIN_S = 3.0


@dataclass(frozen=True, slots=True)
class LostCall:
    """A call whose connection ended without a complete response."""

    call_id: str
    gateway: str
    sent_at: float
    lost_at: float


class KeptConnections:
    """Callers with one kept connection to each gateway."""

    def __init__(self) -> None:
        """Start without calls."""
        self.lost: list[LostCall] = []
        self.answered = 0
        self._harmed: dict[str, list[tuple[float, float]]] = {}

    def record_harm(self, gateway: str, since: float, until: float) -> None:
        """Record that a gateway was killed or suspended for a time."""
        self._harmed.setdefault(gateway, []).append((since, until))

    async def call_gateway(
        self, gateway: str, address: Address, is_over: Callable[[], bool]
    ) -> None:
        """Call a gateway again and again over its connection."""
        pool = HttpPool(address, RECONNECT_DELAY_S)
        number = 0
        while not is_over():
            await trio.sleep(CALL_INTERVAL_S)
            number += 1
            call_id = f"kept-{gateway}-{number}"
            sent_at = trio.current_time()
            headers = [
                ("Host", HOST),
                ("Request-Id", call_id),
                ("Deadline-Ms", "2000"),
                AUTHORIZATION,
            ]
            try:
                with trio.fail_after(CALL_TIMEOUT_S):
                    await pool.fetch(
                        "POST", PLAIN_PREFIX + call_id, headers, b"kept"
                    )
                self.answered += 1
            except ConnectError:
                await trio.sleep(RECONNECT_DELAY_S)
            except (HttpError, trio.TooSlowError):
                now = trio.current_time()
                lost = LostCall(call_id, gateway, sent_at, now)
                self.lost.append(lost)
        pool.close()

    def find_violations(self, runs: list[RunRecord]) -> list[str]:
        """Return the calls that ran and were lost at a sound gateway.

        A call that crosses the close of its connection has not run.
        """
        ids = {run.call_id for run in runs}
        return [
            f"{call.call_id} ran, and its connection ended without response"
            for call in self.lost
            if call.call_id in ids and not self._is_harmed(call)
        ]

    def _is_harmed(self, call: LostCall) -> bool:
        """Return whether a kill or suspension explains a lost call."""
        return any(
            call.lost_at >= since and call.sent_at <= until + HARM_MARGIN_S
            for since, until in self._harmed.get(call.gateway, [])
        )
