"""Recorder of a response in memory, as a caller receives it."""

from dataclasses import dataclass
from dataclasses import field

from pistachiospar.adapters.http.models import Headers
from pistachiospar.helpers.problems import Problem


@dataclass(slots=True)
class ResponseRecorder:
    """The response that a caller received.

    `responses_started` counts the heads: more than one is a protocol error.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    responses_started: int = 0

    @property
    def outcome(self) -> str:
        """Return the response's outcome header.

        "truncated" and "none" stand for a response without its end and for
        no response, "missing" for a complete one without the header.
        """
        if not self.complete:
            return "truncated" if self.responses_started else "none"
        return self.headers.get("pistachiospar-outcome", "missing")

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Record a complete response."""
        await self.start(status, headers)
        self.body = body
        self.complete = True

    async def start(self, status: int, headers: Headers) -> None:
        """Record the status and the headers, by lower-case names."""
        self.responses_started += 1
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}

    async def write(self, chunk: bytes) -> None:
        """Append to the body."""
        self.body += chunk

    async def finish(self, trailers: Headers | None = None) -> None:
        """Add the trailers to the headers and mark the end of the response."""
        self.headers.update({n.lower(): v for n, v in trailers or []})
        self.complete = True

    async def send_problem(
        self, problem: Problem, headers: Headers | None = None
    ) -> None:
        """Record a problem document as a complete response."""
        all_headers = [*problem.make_headers(), *(headers or [])]
        await self.send_response(
            problem.status, all_headers, problem.encode_body()
        )
