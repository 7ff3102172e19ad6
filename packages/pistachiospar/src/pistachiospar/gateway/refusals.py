"""Responses to callers whose requests are refused."""

from random import Random

import trio

from ..directory.coordinator import Directory
from ..helpers.problems import Problem
from ..platform.callers import CallerHeaders
from ..ports.caller_response import CallerSink
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .retry_after import choose_retry_after_s

STATUS_UNAUTHORIZED = 401


class RefusalSender:
    """Send, count and log refusals."""

    def __init__(
        self, directory: Directory, metrics: Metrics, rng: Random
    ) -> None:
        """Initialize; `rng` spreads the times to retry at."""
        self._directory = directory
        self._metrics = metrics
        self._rng = rng

    async def send(
        self,
        exchange: CallerSink,
        caller: CallerHeaders,
        problem: Problem,
        submission: str = "",
        expected_s: float | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Send a problem, and count and log it.

        `expected_s` is when the caller can be served, if that is known;
        `retry_after_s` is when it may be, and not sooner.
        """
        self._metrics.count(f"refused_{problem.kind}")
        log_event(
            "request_refused",
            request=caller.id,
            submission=submission,
            status=problem.status,
            kind=problem.kind,
            detail=problem.detail,
            configuration=self._directory.table.version,
        )
        headers = [
            (n, v) for n, v in problem.make_headers() if n != "Retry-After"
        ]
        if problem.retry_after_s is not None:
            wait_s = retry_after_s or self._find_wait_s(expected_s)
            headers.append(("Retry-After", str(round(wait_s, 2))))
        if problem.status == STATUS_UNAUTHORIZED:
            headers.append(("WWW-Authenticate", "Bearer"))
        await exchange.send_response(
            problem.status, headers, problem.encode_body()
        )

    def _find_wait_s(self, expected_s: float | None) -> float:
        """Return the seconds after which a caller should come back."""
        mirror = self._directory.configuration_mirror
        outage_s = mirror.compute_outage_s(trio.current_time())
        return choose_retry_after_s(expected_s, outage_s, self._rng)
