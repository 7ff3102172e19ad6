"""Responses of samplers that don't end until the gateway closes."""

from .response_cases import make_stream
from .response_cases import ResponseCase
from .response_cases import TWO_EVENTS
from .response_cases import UNFRAMED

ENDLESS_CASES: dict[str, ResponseCase] = {
    "a head without end": ResponseCase(
        (b"HTTP/1.1 200 OK\r\n",), ["may have run"], endless=b"X-A: b\r\n"
    ),
    "a header without end": ResponseCase(
        (b"HTTP/1.1 200 OK\r\nX-A: ",), ["may have run"], endless=b"b"
    ),
    "a status line without end": ResponseCase(
        (b"HTTP/1.1 200 O",), ["may have run"], endless=b"K"
    ),
    "informational responses without end": ResponseCase(
        (b"HTTP/1.1 100 Continue\r\n\r\n",),
        ["may have run"],
        endless=b"HTTP/1.1 100 Continue\r\n\r\n",
    ),
    "a body without end or length": ResponseCase(
        (UNFRAMED,), ["may have run"], endless=b"no answer "
    ),
    "chunks without end": ResponseCase(
        (make_stream(end=False),), ["may have run"], endless=b"3\r\nabc\r\n"
    ),
    "a refusal without end": ResponseCase(
        (
            b"HTTP/1.1 503 Full\r\nRequest-Id: c1\r\nNot-Executed: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
        ),
        ["may have run"],
        endless=b"3\r\nabc\r\n",
    ),
    "an event without end": ResponseCase(
        (make_stream(TWO_EVENTS[0], end=False),),
        ["4: 1 a", "may have run"],
        is_stream=True,
        endless=b"3\r\nabc\r\n",
    ),
    "an order's response without end": ResponseCase(
        (UNFRAMED.replace(b"200 OK", b"202 Accepted"),),
        ["unknown"],
        operation="order",
        endless=b"no answer ",
    ),
    "a report without end": ResponseCase(
        (UNFRAMED,), ["no report"], operation="report", endless=b"no answer "
    ),
}
