"""Support taking an answer in memory, as a caller would see it."""

from dataclasses import dataclass
from dataclasses import field

from pistachiospar.adapters.http.models import Headers
from pistachiospar.helpers.problems import Problem


@dataclass(slots=True)
class AnswerExchange:
    """Hold what a caller received."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    answers: int = 0

    @property
    def outcome(self) -> str:
        """Return the outcome that the caller was told."""
        if not self.whole:
            return "cut" if self.answers else "none"
        return self.headers.get("pistachiospar-outcome", "missing")

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Take a whole answer."""
        await self.start(status, headers)
        self.body = body
        self.whole = True

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head."""
        self.answers += 1
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.body += chunk

    async def finish(self, trailers: Headers | None = None) -> None:
        """Take the end."""
        self.headers.update({n.lower(): v for n, v in trailers or []})
        self.whole = True

    async def send_problem(
        self, problem: Problem, headers: Headers | None = None
    ) -> None:
        """Take a problem document."""
        both = [*problem.make_headers(), *(headers or [])]
        await self.send_response(problem.status, both, problem.encode_body())
