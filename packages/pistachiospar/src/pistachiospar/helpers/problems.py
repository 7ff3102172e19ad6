"""RFC 9457 problem documents, the body of every error response."""

from dataclasses import dataclass
from typing import Final

import msgspec

from ..const import CONTENT_TYPE_PROBLEM
from ..const import HEADER_OUTCOME
from ..const import OUTCOME_NOT_RUN
from ..const import OUTCOME_UNKNOWN

TYPE_PREFIX: Final = "urn:pistachiospar:problem:"


@dataclass(frozen=True, slots=True)
class Problem:
    """One error response.

    `kind` is the last part of the problem type, `outcome` says whether the
    request was run, `retry_after_s` when the caller may retry.
    """

    status: int
    kind: str
    detail: str
    outcome: str = OUTCOME_NOT_RUN
    retry_after_s: float | None = None

    def make_headers(self) -> list[tuple[str, str]]:
        """Return the response headers, with Retry-After in whole seconds."""
        headers = [
            ("Content-Type", CONTENT_TYPE_PROBLEM),
            (HEADER_OUTCOME, self.outcome),
        ]
        if self.retry_after_s is not None:
            whole_seconds = max(1, round(self.retry_after_s + 0.5))
            headers.append(("Retry-After", str(whole_seconds)))
        return headers

    def encode_body(self) -> bytes:
        """Encode the problem document as JSON."""
        return msgspec.json.encode(
            {
                "type": TYPE_PREFIX + self.kind,
                "title": self.kind.replace("-", " "),
                "status": self.status,
                "detail": self.detail,
                "outcome": self.outcome,
            }
        )


def refuse_input(kind: str, detail: str, status: int = 400) -> Problem:
    """Return the problem for a request that is invalid."""
    return Problem(status, kind, detail)


def refuse_not_run(
    kind: str, detail: str, retry_after_s: float = 1.0
) -> Problem:
    """Return the 503 problem for a request that certainly was not run."""
    return Problem(503, kind, detail, OUTCOME_NOT_RUN, retry_after_s)


def report_unknown_outcome(
    kind: str, detail: str, retry_after_s: float | None = None
) -> Problem:
    """Return the 502 problem for a request that may have been run."""
    return Problem(502, kind, detail, OUTCOME_UNKNOWN, retry_after_s)
