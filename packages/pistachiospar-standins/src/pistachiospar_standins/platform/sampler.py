"""Support samplers over TCP, as the platform's speak."""

import msgspec
from pistachiospar.adapters.http.client import Address
from pistachiospar.adapters.http.models import Headers
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.adapters.http.server import Exchange
from pistachiospar.platform import const
from pistachiospar.platform.samplers import OrderMessage
from pistachiospar.ports.sampler import LoadOrder
from pistachiospar.ports.sampler import LoadOrderOutcome
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.ports.upstream import UpstreamError
from pistachiospar.routing.instances import ListedInstance
import trio

from ..fakes.samplers import FakeSamplers
from ..fakes.samplers import SamplerWorld
from ..serving.models import send_json

_STATUSES = {
    LoadOrderOutcome.ACCEPTED: 202,
    LoadOrderOutcome.HOLDS: 200,
    LoadOrderOutcome.CONFLICT: 409,
    LoadOrderOutcome.FENCED: 412,
}


class SamplerHandler:
    """Serve one instance of the world of fakes."""

    def __init__(self, world: SamplerWorld, name: str) -> None:
        """Take the world."""
        self._world = world
        nowhere = Address("127.0.0.1", 1)
        self._instance = ListedInstance(name, "", nowhere, "", 1, False)

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request."""
        sampler = self._world.samplers[self._instance.name]
        if sampler.faults.down:
            exchange.closes_connection = True
            return
        expected = request.headers.get("expect-instance", sampler.name)
        if expected != sampler.name:
            await exchange.send_response(421, [], b"")
        elif request.path == const.PATH_REPORT:
            await self._report(exchange)
        elif request.path == const.PATH_ORDER:
            await self._order(request, exchange)
        else:
            await self._call(request, exchange)

    async def _report(self, exchange: Exchange) -> None:
        """Tell the state."""
        samplers = FakeSamplers(self._world, "")
        told = (await samplers.fetch_report(self._instance)).unwrap()
        models = [
            {"name": name, "version": version}
            for name, version in told.versions.items()
        ]
        await send_json(
            exchange,
            {
                "busy": told.busy,
                "sequence": told.accepted_orders,
                "waiting": told.waiting,
                "running": told.running,
                "models": models,
            },
        )

    async def _order(self, request: HttpRequest, exchange: Exchange) -> None:
        """Take an order."""
        message = msgspec.json.decode(request.body, type=OrderMessage)
        order = LoadOrder(
            message.model,
            message.version,
            message.holder,
            message.fence,
            message.expected,
        )
        samplers = FakeSamplers(self._world, message.holder)
        reply = await samplers.order_load(self._instance, order)
        if reply is LoadOrderOutcome.UNKNOWN:
            exchange.closes_connection = True
            return
        await exchange.send_response(_STATUSES.get(reply, 400), [], b"")

    async def _call(self, request: HttpRequest, exchange: Exchange) -> None:
        """Run a call."""
        call_id = request.headers.get(const.HEADER_REQUEST_ID, "")
        last = request.headers.get(const.HEADER_LAST_EVENT_ID.lower())
        call = SamplerCall(
            call_id,
            request.method,
            request.target,
            [],
            request.body,
            float(request.headers[const.HEADER_DEADLINE_MS]) / 1000,
            after_event=int(last) if last else None,
        )
        samplers = FakeSamplers(self._world, "")
        try:
            with trio.move_on_after(call.remaining_s):
                async with samplers.call(self._instance, call) as answer:
                    headers: Headers = [("Request-Id", call_id)]
                    if answer.stamp:
                        headers.append(("Response-Stamp", answer.stamp))
                    if answer.not_run:
                        headers.append(("Not-Executed", "1"))
                    if answer.version is None:
                        body = await answer.read_body()
                        await exchange.send_response(
                            answer.status, headers, body
                        )
                        return
                    version = str(answer.version)
                    headers.append(("Weight-Versions", version))
                    await exchange.start(answer.status, headers)
                    async for event in answer.iter_events():
                        changed = b""
                        if event.version is not None:
                            changed = b"weight-versions: %d\n" % event.version
                        await exchange.write(changed + event.raw)
                    await exchange.finish()
        except UpstreamError:
            # Unfinished, so that the answer is cut.
            exchange.closes_connection = True
