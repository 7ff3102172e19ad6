"""HTTP server of the instance list, which shows changes after a lag."""

import time

import msgspec
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.instance_list.const import PATH_INSTANCES
from pistachiospar.ports.instances import Instance
import trio

from ..serving.models import handle_fault_request
from ..serving.models import JSON_HEADERS
from ..serving.models import send_json


class InstancesFaults(msgspec.Struct):
    """The faults of the list; the lag is in seconds."""

    down: bool = False
    lag_s: float = 0.5


class InstancesSettings(msgspec.Struct):
    """The settings of the list, with its initial instances."""

    instances: list[Instance] = []
    faults: InstancesFaults = msgspec.field(default_factory=InstancesFaults)


class Listing(msgspec.Struct):
    """A state of the list; `set_at` is in seconds, `number` is its ETag."""

    set_at: float
    number: int
    instances: list[Instance]


class InstancesHandler:
    """A handler of the instance list; PUT replaces it."""

    def __init__(self, settings: InstancesSettings) -> None:
        """Create a handler with the list of the settings."""
        self.faults = settings.faults
        now = time.time()
        initial = [
            msgspec.structs.replace(i, since_s=i.since_s or now)
            for i in settings.instances
        ]
        self._listings = [Listing(float("-inf"), 1, initial)]

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request; no response while `down` is set."""
        if await handle_fault_request(self.faults, request, exchange):
            return
        if self.faults.down:
            return
        if request.path != PATH_INSTANCES:
            await send_json(exchange, "no such path", 404)
            return
        now = trio.current_time()
        if request.method == "PUT":
            self._replace_list(request.body, now)
            await send_json(exchange, "set")
            return
        listing = self._find_visible(now)
        tag = f'"{listing.number}"'
        if request.headers.get("if-none-match") == tag:
            await exchange.send_response(304, [("ETag", tag)], b"")
            return
        data = msgspec.json.encode(listing.instances)
        await exchange.send_response(200, [*JSON_HEADERS, ("ETag", tag)], data)

    def _replace_list(self, body: bytes, now: float) -> None:
        """Replace the list; known instances keep their `since_s`."""
        instances = msgspec.json.decode(body, type=list[Instance])
        known = {i.name: i for i in self._listings[-1].instances}
        stamped = [
            msgspec.structs.replace(
                i,
                since_s=known[i.name].since_s
                if i.name in known
                else i.since_s or time.time(),
            )
            for i in instances
        ]
        number = self._listings[-1].number + 1
        self._listings.append(Listing(now, number, stamped))

    def _find_visible(self, now: float) -> Listing:
        """Return the newest list that was set before the lag."""
        visible = [
            listing
            for listing in self._listings
            if now - listing.set_at >= self.faults.lag_s
        ]
        return visible[-1]
