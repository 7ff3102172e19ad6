"""Support callers that check every answer they get."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

import msgspec
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.client import parse_address
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.adapters.http.models import Headers
from pistachiospar.adapters.http.models import HttpResponse
from pistachiospar.const import HEADER_CALLER
from pistachiospar.const import HEADER_IDEMPOTENCY_KEY
from pistachiospar.const import HEADER_OUTCOME
from pistachiospar.const import HEADER_TIMEOUT_MS
import trio

NO_ANSWER = "no-answer"
MARGIN_S = 2.0


@dataclass(slots=True)
class CallLog:
    """Hold what became of calls; durations are in seconds."""

    outcomes: Counter[str] = field(default_factory=Counter)
    by_key: dict[str, str] = field(default_factory=dict)
    durations: list[float] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)

    def find_quantile(self, share: float) -> float:
        """Return a quantile of the durations."""
        if not self.durations:
            return 0.0
        ordered = sorted(self.durations)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Caller:
    """Call upstreams through the entries in turn."""

    def __init__(
        self, name: str, entries: list[str], timeout_ms: int = 5000
    ) -> None:
        """Begin with an empty log."""
        self.name = name
        self.log = CallLog()
        self._timeout_ms = timeout_ms
        self._pools = [HttpPool(parse_address(entry)) for entry in entries]
        self._turn = 0

    async def look_up(self, upstream: str, word: str) -> str:
        """Look something up; return the outcome."""
        target = f"/upstreams/{upstream}/lookup/{word}"
        answer = await self._call("GET", target, b"", [])
        return self._judge(answer, "/lookup/" + word, "path")

    async def record(self, upstream: str, key: str) -> str:
        """Record a weight once; return the outcome."""
        target = f"/upstreams/{upstream}/weights"
        headers = [(HEADER_IDEMPOTENCY_KEY, key)]
        body = f"record {key}"
        answer = await self._call("POST", target, body.encode(), headers)
        outcome = self._judge(answer, body, "echo")
        self.log.by_key[key] = outcome
        return outcome

    async def complete(
        self, upstream: str, prompt: str, tokens: int, stream: bool
    ) -> str:
        """Ask for a completion; return the outcome."""
        body = msgspec.json.encode(
            {"prompt": prompt, "max_tokens": tokens, "stream": stream}
        )
        target = f"/upstreams/{upstream}/v1/completions"
        answer = await self._call("POST", target, body, [])
        outcome = self._read_outcome(answer)
        if outcome == "done" and answer is not None:
            made = answer.body.count(b"@")
            whole = made == tokens
            if stream:
                whole = whole and answer.body.endswith(b"[DONE]\n\n")
            if not whole:
                self.log.wrong.append(f"{prompt}: {made} of {tokens} tokens")
        return outcome

    def _judge(
        self, answer: HttpResponse | None, wanted: str, name: str
    ) -> str:
        """Check that an answer belongs to its call."""
        outcome = self._read_outcome(answer)
        if outcome == "done" and answer is not None:
            found = msgspec.json.decode(answer.body).get(name)
            if found != wanted:
                self.log.wrong.append(f"asked {wanted!r}, got {found!r}")
        return outcome

    def _read_outcome(self, answer: HttpResponse | None) -> str:
        """Read and count the outcome of a call."""
        outcome = NO_ANSWER
        if answer is not None:
            outcome = answer.headers.get(HEADER_OUTCOME, "missing")
        self.log.outcomes[outcome] += 1
        return outcome

    async def _call(
        self, method: str, target: str, body: bytes, headers: Headers
    ) -> HttpResponse | None:
        """Make one call through the next entry."""
        self._turn += 1
        pool = self._pools[self._turn % len(self._pools)]
        all_headers = [
            (HEADER_CALLER, self.name),
            (HEADER_TIMEOUT_MS, str(self._timeout_ms)),
            *headers,
        ]
        started_at = trio.current_time()
        try:
            with trio.fail_after(self._timeout_ms / 1000.0 + MARGIN_S):
                answer = await pool.fetch(method, target, all_headers, body)
        except (HttpError, trio.TooSlowError):
            return None
        self.log.durations.append(trio.current_time() - started_at)
        return answer
