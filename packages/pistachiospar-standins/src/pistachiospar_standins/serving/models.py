"""JSON responses and the admin call that reads and sets faults."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Final

import msgspec
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.const import CONTENT_TYPE_JSON

PATH_FAULTS: Final = "/admin/faults"
JSON_HEADERS: Final = [("Content-Type", CONTENT_TYPE_JSON)]

Handler = Callable[[HttpRequest, Exchange], Awaitable[None]]


async def send_json(exchange: Exchange, value: Any, status: int = 200) -> None:
    """Send a value as a complete JSON response."""
    data = msgspec.json.encode(value)
    await exchange.send_response(status, JSON_HEADERS, data)


def merge_faults(faults: msgspec.Struct, data: bytes) -> None:
    """Set the faults named in a JSON object; raises MsgspecError."""
    merged = msgspec.to_builtins(faults)
    merged.update(msgspec.json.decode(data))
    validated = msgspec.convert(merged, type=type(faults))
    for name in faults.__struct_fields__:
        setattr(faults, name, getattr(validated, name))


async def handle_fault_request(
    faults: msgspec.Struct, request: HttpRequest, exchange: Exchange
) -> bool:
    """Serve the admin call; return False for any other request.

    GET returns the faults; POST sets the named ones first, or returns 400.
    """
    if request.path != PATH_FAULTS:
        return False
    try:
        if request.method == "POST":
            merge_faults(faults, request.body)
    except msgspec.MsgspecError as error:
        await send_json(exchange, str(error), 400)
        return True
    await send_json(exchange, faults)
    return True
