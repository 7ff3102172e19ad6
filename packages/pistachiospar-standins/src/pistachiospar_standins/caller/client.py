"""Callers that check each response."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

import msgspec
from pistachiospar.adapters.http.address import parse_address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.adapters.http.models import Headers
from pistachiospar.adapters.http.models import HttpResponse
from pistachiospar.const import HEADER_CALLER
from pistachiospar.const import HEADER_IDEMPOTENCY_KEY
from pistachiospar.const import HEADER_OUTCOME
from pistachiospar.const import HEADER_TIMEOUT_MS
import trio

OUTCOME_NO_RESPONSE = "no-answer"
TIMEOUT_MARGIN_S = 2.0


@dataclass(slots=True)
class CallLog:
    """The outcomes of calls; durations are in seconds.

    `by_key` is the outcome for each idempotency key; `violations` describes
    the responses that don't match their request.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    by_key: dict[str, str] = field(default_factory=dict)
    durations_s: list[float] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def compute_quantile(self, share: float) -> float:
        """Return the quantile `share` of the durations, 0 without calls."""
        if not self.durations_s:
            return 0.0
        ordered = sorted(self.durations_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Caller:
    """A caller that calls upstreams through the entries in turn."""

    def __init__(
        self, name: str, entries: list[str], timeout_ms: int = 5000
    ) -> None:
        """Create a caller with an empty log."""
        self.name = name
        self.log = CallLog()
        self._timeout_ms = timeout_ms
        self._pools = [HttpPool(parse_address(entry)) for entry in entries]
        self._call_number = 0

    async def look_up(self, upstream: str, word: str) -> str:
        """Look up a word; return the outcome."""
        target = f"/upstreams/{upstream}/lookup/{word}"
        response = await self._call("GET", target, b"", [])
        return self._check_echo(response, "/lookup/" + word, "path")

    async def record(self, upstream: str, key: str) -> str:
        """Record a weight under an idempotency key; return the outcome."""
        target = f"/upstreams/{upstream}/weights"
        headers = [(HEADER_IDEMPOTENCY_KEY, key)]
        body = f"record {key}"
        response = await self._call("POST", target, body.encode(), headers)
        outcome = self._check_echo(response, body, "echo")
        self.log.by_key[key] = outcome
        return outcome

    async def complete(
        self, upstream: str, prompt: str, tokens: int, stream: bool
    ) -> str:
        """Request a completion; return the outcome."""
        body = msgspec.json.encode(
            {"prompt": prompt, "max_tokens": tokens, "stream": stream}
        )
        target = f"/upstreams/{upstream}/v1/completions"
        response = await self._call("POST", target, body, [])
        outcome = self._read_outcome(response)
        if outcome == "done" and response is not None:
            received = response.body.count(b"@")
            is_complete = received == tokens
            if stream:
                is_complete = is_complete and response.body.endswith(
                    b"[DONE]\n\n"
                )
            if not is_complete:
                self.log.violations.append(
                    f"{prompt}: {received} of {tokens} tokens"
                )
        return outcome

    def _check_echo(
        self, response: HttpResponse | None, expected: str, echo_field: str
    ) -> str:
        """Check that a field of the response echoes the request.

        Returns the outcome; records a mismatch as a violation.
        """
        outcome = self._read_outcome(response)
        if outcome == "done" and response is not None:
            found = msgspec.json.decode(response.body).get(echo_field)
            if found != expected:
                self.log.violations.append(
                    f"expected {expected!r}, got {found!r}"
                )
        return outcome

    def _read_outcome(self, response: HttpResponse | None) -> str:
        """Count and return the outcome of a call.

        "no-answer" stands for no response, "missing" for one without outcome.
        """
        outcome = OUTCOME_NO_RESPONSE
        if response is not None:
            outcome = response.headers.get(HEADER_OUTCOME, "missing")
        self.log.outcomes[outcome] += 1
        return outcome

    async def _call(
        self, method: str, target: str, body: bytes, headers: Headers
    ) -> HttpResponse | None:
        """Send one call through the next entry; None without a response."""
        self._call_number += 1
        pool = self._pools[self._call_number % len(self._pools)]
        all_headers = [
            (HEADER_CALLER, self.name),
            (HEADER_TIMEOUT_MS, str(self._timeout_ms)),
            *headers,
        ]
        started_at = trio.current_time()
        try:
            with trio.fail_after(self._timeout_ms / 1000.0 + TIMEOUT_MARGIN_S):
                response = await pool.fetch(method, target, all_headers, body)
        except (HttpError, trio.TooSlowError):
            return None
        self.log.durations_s.append(trio.current_time() - started_at)
        return response
