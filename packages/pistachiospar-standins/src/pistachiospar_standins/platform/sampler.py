"""HTTP handler of a sampler, with the platform's protocol."""

import msgspec
from pistachiospar.adapters.http.address import Address
from pistachiospar.adapters.http.exchange import Exchange
from pistachiospar.adapters.http.models import Headers
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.platform import const
from pistachiospar.platform.samplers import OrderMessage
from pistachiospar.ports.sampler import LoadOrder
from pistachiospar.ports.sampler import LoadOrderOutcome
from pistachiospar.ports.sampler import SamplerCall
from pistachiospar.ports.upstream import UpstreamError
from pistachiospar.routing.instances import ListedInstance
import trio

from ..fakes.samplers import FakeSamplerClient
from ..fakes.samplers import SamplerCluster
from ..serving.models import send_json

_OUTCOME_STATUSES = {
    LoadOrderOutcome.ACCEPTED: 202,
    LoadOrderOutcome.HOLDS: 200,
    LoadOrderOutcome.CONFLICT: 409,
    LoadOrderOutcome.FENCED: 412,
}


# Recorded as the organisation of a call that brought its caller's key.
KEY_PASSED_ON = "key passed on"


class SamplerHandler:
    """A handler that serves one instance of a cluster of fakes."""

    def __init__(self, cluster: SamplerCluster, name: str) -> None:
        """Serve the instance `name` of the cluster."""
        self._cluster = cluster
        unused_address = Address("127.0.0.1", 1)
        self._instance = ListedInstance(name, "", unused_address, "", 1, False)

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve one request; no response while the instance is down."""
        sampler = self._cluster.samplers[self._instance.name]
        if sampler.faults.down:
            exchange.closes_connection = True
            return
        expected = request.headers.get("expect-instance", sampler.name)
        if expected != sampler.name:
            await exchange.send_response(421, [], b"")
        elif request.path == const.PATH_REPORT:
            await self._send_report(exchange)
        elif request.path == const.PATH_ORDER:
            await self._handle_order(request, exchange)
        else:
            await self._run_call(request, exchange)

    async def _send_report(self, exchange: Exchange) -> None:
        """Send the instance's report."""
        client = FakeSamplerClient(self._cluster, "")
        report = (await client.fetch_report(self._instance)).unwrap()
        models = [
            {"name": name, "version": version}
            for name, version in report.versions.items()
        ]
        await send_json(
            exchange,
            {
                "busy": report.busy,
                "sequence": report.accepted_orders,
                "waiting": report.waiting,
                "running": report.running,
                "born": report.started_ms,
                "kvUsed": report.kv_used,
                "kvTotal": report.kv_total,
                "models": models,
            },
        )

    async def _handle_order(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        """Handle a load order; no response to one with a lost reply."""
        message = msgspec.json.decode(request.body, type=OrderMessage)
        order = LoadOrder(
            message.model,
            message.version,
            message.holder,
            message.fence,
            message.expected,
        )
        client = FakeSamplerClient(self._cluster, message.holder)
        outcome = await client.order_load(self._instance, order)
        if outcome is LoadOrderOutcome.UNKNOWN:
            exchange.closes_connection = True
            return
        await exchange.send_response(
            _OUTCOME_STATUSES.get(outcome, 400), [], b""
        )

    async def _run_call(
        self, request: HttpRequest, exchange: Exchange
    ) -> None:
        """Run a call until its deadline; send its body or its events."""
        call_id = request.headers.get(const.HEADER_REQUEST_ID, "")
        last_event = request.headers.get(const.HEADER_LAST_EVENT_ID.lower())
        call = SamplerCall(
            call_id,
            request.method,
            request.target,
            [],
            request.body,
            float(request.headers[const.HEADER_DEADLINE_MS]) / 1000,
            after_event=int(last_event) if last_event else None,
            organisation=_read_organisation(request),
        )
        client = FakeSamplerClient(self._cluster, "")
        try:
            with trio.move_on_after(call.remaining_s):
                async with client.call(self._instance, call) as response:
                    headers: Headers = [("Request-Id", call_id)]
                    if response.stamp:
                        headers.append(("Response-Stamp", response.stamp))
                    if response.not_run:
                        headers.append(("Not-Executed", "1"))
                    if response.version is None:
                        body = await response.read_body()
                        await exchange.send_response(
                            response.status, headers, body
                        )
                        return
                    version = str(response.version)
                    headers.append(("Weight-Versions", version))
                    headers.append(("Content-Type", "text/event-stream"))
                    await exchange.start(response.status, headers)
                    async for event in response.iter_events():
                        changed = b""
                        if event.version is not None:
                            changed = b"weight-versions: %d\n" % event.version
                        await exchange.write(changed + event.raw)
                    await exchange.finish()
        except UpstreamError:
            # Close without finishing, so that the client sees a truncation.
            exchange.closes_connection = True


def _read_organisation(request: HttpRequest) -> str:
    """Return the organisation that a call names, empty without one."""
    if const.HEADER_AUTHORIZATION in request.headers:
        return KEY_PASSED_ON
    return request.headers.get(const.HEADER_TENANT, "")
