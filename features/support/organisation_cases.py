"""Organisations that call a small fleet of gateways, in virtual time."""

from collections.abc import Awaitable
from collections.abc import Callable

import eliot
import msgspec
from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar.kv_access.calls import execute_for_peer
from pistachiospar.kv_access.messages import ListCall
from pistachiospar.organisations.models import make_key_rules
from pistachiospar.platform.callers import encode_submission
from pistachiospar.platform.directory import PLATFORM_KEYS
from pistachiospar.watch_relay.messages import FollowCall
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from pistachiospar_standins.fakes.gateway_fleet import GatewayFleet
from pistachiospar_standins.fakes.gateway_fleet import GatewayPlan
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import SCORE_PREFIX
from pistachiospar_standins.fakes.gateway_fleet import STREAM_PREFIX
from pistachiospar_standins.fakes.recorders import ResponseRecorder
import trio

from .histories import make_history
from .submission_scenarios import PageView

MAX_VIRTUAL_S = 120.0
REVOKE_S = 5.0
# More gateways than watch the store: two of them follow others.
GATEWAYS = 8
APPLY_S = 3.0
OLD_KEY, NEW_KEY, OTHER_KEY = "old-key", "new-key", "other-key"
TENANTS: list[dict[str, object]] = [
    {"name": "o1", "apiKeys": [OLD_KEY, NEW_KEY], "priority": 0},
    {"name": "o2", "apiKeys": [OTHER_KEY]},
]
Case = Callable[[GatewayFleet], Awaitable[list[str]]]


async def send(
    fleet: GatewayFleet,
    key: str | None,
    method: str = "POST",
    path: str = PLAIN_PREFIX + "x",
    call_id: str = "c",
    gateway: str = "g0",
    body: bytes = b"body",
) -> ResponseRecorder:
    """Send a call with a key; an empty response if there is none."""
    path, _, query = path.partition("?")
    headers = {"host": HOST, "request-id": call_id, "deadline-ms": "2000"}
    raw = [("Authorization", f"Bearer {key}")] if key is not None else []
    request = HttpRequest(method, path, query, headers, body, raw, path)
    return await fleet.send_request(gateway, request) or ResponseRecorder()


async def send_all(fleet: GatewayFleet, key: str | None) -> set[int]:
    """Return the statuses of a plain call at each gateway."""
    found = [
        await send(fleet, key, gateway=name) for name in list(fleet.running)
    ]
    return {response.status for response in found}


def expect(what: str, found: object, expected: object) -> list[str]:
    """Return a violation if a finding isn't the expected one."""
    return [] if found == expected else [f"{what}: {found}, not {expected}"]


def list_runs(fleet: GatewayFleet) -> set[tuple[str | None, int]]:
    """Return the organisations and urgencies of all runs so far."""
    return {(run.organisation, run.urgency) for run in fleet.cluster.runs}


def change_tenants(
    fleet: GatewayFleet, tenants: list[dict[str, object]] | None
) -> None:
    """Put other organisations into the configuration."""
    fleet.plan.tenants = tenants
    fleet.write_configuration()


async def check_plain(fleet: GatewayFleet) -> list[str]:
    """Check names, urgencies and refusals of plain calls."""
    refused = [await send(fleet, key) for key in (None, "wrong")]
    found = expect("refused", [r.status for r in refused], [401, 401])
    found += expect("runs", list_runs(fleet), set())
    challenge = refused[0].headers.get("www-authenticate")
    found += expect("challenge", challenge, "Bearer")
    for key in (OLD_KEY, OTHER_KEY):
        found += expect(key, (await send(fleet, key)).status, 200)
    found += expect("runs", list_runs(fleet), {("o1", 0), ("o2", 1)})
    fleet.cluster.runs.clear()
    public = await send(fleet, None, path=SCORE_PREFIX + "x")
    found += expect("public", public.status, 200)
    return found + expect("runs", list_runs(fleet), {("", 1)})


async def check_streams(fleet: GatewayFleet) -> list[str]:
    """Check the name and urgency of a stream."""
    path = STREAM_PREFIX + "m0/x"
    refused = await send(fleet, None, path=path)
    served = await send(fleet, NEW_KEY, path=path)
    found = expect("statuses", (refused.status, served.status), (401, 200))
    return found + expect("runs", list_runs(fleet), {("o1", 0)})


async def check_no_organisations(fleet: GatewayFleet) -> list[str]:
    """Check that calls need no key without organisations."""
    change_tenants(fleet, None)
    await trio.sleep(APPLY_S)
    found = expect("statuses", await send_all(fleet, None), {200})
    return found + expect("runs", list_runs(fleet), {(None, 1)})


async def check_last_organisation(fleet: GatewayFleet) -> list[str]:
    """Check that removing the last organisation opens nothing."""
    change_tenants(fleet, [])
    await trio.sleep(APPLY_S)
    responses = [await send(fleet, key) for key in (None, OLD_KEY)]
    found = expect("statuses", [r.status for r in responses], [401, 401])
    return found + expect("runs", list_runs(fleet), set())


async def check_unknown_route(fleet: GatewayFleet) -> list[str]:
    """Check that an unknown route is told before a missing key."""
    response = await send(fleet, None, path="/nowhere")
    return expect("status", response.status, 404)


async def check_removed_key(fleet: GatewayFleet) -> list[str]:
    """Check that a removed key is refused everywhere, and a new one not."""
    found = expect("before", await send_all(fleet, OLD_KEY), {200})
    change_tenants(fleet, [{"name": "o1", "apiKeys": [NEW_KEY, "newest"]}])
    await trio.sleep(APPLY_S)
    found += expect("removed", await send_all(fleet, OLD_KEY), {401})
    return found + expect("added", await send_all(fleet, "newest"), {200})


async def check_restarted(fleet: GatewayFleet) -> list[str]:
    """Check that a removed key stays removed at gateways that restart."""
    found = await check_removed_key(fleet)
    for name in list(fleet.running):
        fleet.kill_gateway(name)
        fleet.start_gateway(name)
    await trio.sleep(2.0)
    return found + expect("after", await send_all(fleet, OLD_KEY), {401})


async def submit(
    fleet: GatewayFleet, key: str | None, name: str, items: int = 3
) -> int:
    """Submit items of which each carries a key; return the status."""
    submission = make_history(name, items).submission
    secret = ("Authorization", f"Bearer {key}")
    own = [
        msgspec.structs.replace(item, headers=[*item.headers, secret])
        for item in submission.items
    ]
    body = encode_submission(msgspec.structs.replace(submission, items=own))
    path = submission.path
    return (await send(fleet, key, "POST", path, name, body=body)).status


async def count_results(fleet: GatewayFleet, key: str, name: str) -> int:
    """Return how many results a submission has."""
    page = await send(fleet, key, "GET", f"/lots/{name}")
    if page.status != 200:
        return -page.status
    return len(msgspec.json.decode(page.body, type=PageView).results)


async def check_items(fleet: GatewayFleet) -> list[str]:
    """Check the names and urgencies of items and scoring calls."""
    found = expect("status", await submit(fleet, OLD_KEY, "sub"), 202)
    await trio.sleep(8.0)
    found += expect("results", await count_results(fleet, NEW_KEY, "sub"), 3)
    return found + expect("runs", list_runs(fleet), {("o1", 0), ("", 1)})


async def check_removed_organisation(fleet: GatewayFleet) -> list[str]:
    """Check that the items of a removed organisation keep its name."""
    found = expect("status", await submit(fleet, OLD_KEY, "sub", 240), 202)
    change_tenants(fleet, [TENANTS[1]])
    await trio.sleep(1.0)
    fleet.cluster.runs.clear()
    await trio.sleep(25.0)
    found += expect("runs", {run[0] for run in list_runs(fleet)}, {"o1", ""})
    change_tenants(fleet, TENANTS)
    await trio.sleep(APPLY_S)
    results = await count_results(fleet, OLD_KEY, "sub")
    return found + expect("results", results, 240)


async def check_other_organisation(fleet: GatewayFleet) -> list[str]:
    """Check that another organisation can neither see nor end nor replace."""
    found = expect("status", await submit(fleet, OLD_KEY, "sub"), 202)
    found += expect("again", await submit(fleet, NEW_KEY, "sub"), 202)
    found += expect("taken", await submit(fleet, OTHER_KEY, "sub"), 409)
    calls = (
        ("GET", "/lots/sub"),
        ("GET", "/items/sub?id=sub-0"),
        ("DELETE", "/lots/sub"),
    )
    await trio.sleep(1.0)
    for method, path in calls:
        for gateway in fleet.running:
            for key, status in ((None, 401), (OTHER_KEY, 404), (OLD_KEY, 200)):
                if method == "DELETE" and status == 200:
                    continue
                response = await send(
                    fleet, key, method, path, gateway=gateway
                )
                what = f"{method} {path} {key} {gateway}"
                found += expect(what, response.status, status)
    return found


async def check_trusting_holder(fleet: GatewayFleet) -> list[str]:
    """Check results of a holder that gives them to any organisation."""
    fleet.compares_organisations = False
    return await check_other_organisation(fleet)


async def check_earlier_holder(fleet: GatewayFleet) -> list[str]:
    """Check results of a holder that knows no organisations."""
    fleet.names_organisations = False
    return await check_trusting_holder(fleet)


async def check_earlier_submission(fleet: GatewayFleet) -> list[str]:
    """Check that a submission without organisation is open to any key."""
    change_tenants(fleet, None)
    await trio.sleep(APPLY_S)
    found = expect("status", await submit(fleet, None, "sub"), 202)
    change_tenants(fleet, TENANTS)
    await trio.sleep(8.0)
    for key, results in ((OLD_KEY, 3), (OTHER_KEY, 3), ("wrong", -401)):
        found += expect(key, await count_results(fleet, key, "sub"), results)
    return found


async def check_store_away(fleet: GatewayFleet) -> list[str]:
    """Check that an unknown key may be new, and a known one goes on."""
    for running in fleet.running.values():
        running.kv.faults.down = True
    await trio.sleep(10.0)
    unknown = await send(fleet, "wrong")
    found = expect("unknown", unknown.status, 503)
    found += expect("wait", "retry-after" in unknown.headers, True)
    found += expect("known", await send_all(fleet, OLD_KEY), {200})
    return found + expect("none", await send_all(fleet, None), {401})


async def check_store_away_strict(fleet: GatewayFleet) -> list[str]:
    """Check that known keys are refused in time, until the store is back."""
    for running in fleet.running.values():
        running.kv.faults.down = True
    await trio.sleep(REVOKE_S)
    found = expect("known", await send_all(fleet, OLD_KEY), {503})
    for running in fleet.running.values():
        running.kv.faults.down = False
    await trio.sleep(4.0)
    return found + expect("back", await send_all(fleet, OLD_KEY), {200})


async def check_strict_in_touch(fleet: GatewayFleet) -> list[str]:
    """Check that no gateway in touch refuses a known key."""
    statuses: set[int] = set()
    for _ in range(100):
        statuses |= await send_all(fleet, OLD_KEY)
        await trio.sleep(0.1)
    sources = [r.coordinator.watch_relay for r in fleet.running.values()]
    followers = sum(bool(relay.source_name) for relay in sources)
    found = expect("statuses", statuses, {200})
    return found + expect("followers", followers, GATEWAYS - 6)


async def check_suspended_strict(fleet: GatewayFleet) -> list[str]:
    """Check that a gateway counts the time of its suspension."""
    fleet.running["g0"].suspended_s += REVOKE_S
    response = await send(fleet, OLD_KEY)
    found = expect("suspended", response.status, 503)
    await trio.sleep(4.0)
    return found + expect("later", await send_all(fleet, OLD_KEY), {200})


async def check_messages(fleet: GatewayFleet) -> list[str]:
    """Check that no key is in messages to peers, other records or logs."""
    lines: list[dict[str, object]] = []
    eliot.add_destinations(lines.append)
    await submit(fleet, OLD_KEY, "sub")
    await send_all(fleet, OTHER_KEY)
    await send_all(fleet, NEW_KEY + " " + OLD_KEY)
    await send_all(fleet, "un" + OLD_KEY)
    await send(fleet, OTHER_KEY, "GET", "/lots/sub")
    await trio.sleep(4.0)
    change_tenants(fleet, [*TENANTS])
    await trio.sleep(APPLY_S)
    sent: list[bytes] = []
    for running in fleet.running.values():
        server = running.coordinator.watch_server
        mirrors = running.coordinator.directory.configuration_mirror
        position = msgspec.structs.replace(
            mirrors.get_position(), history="", number=0, revision=0
        )
        call = FollowCall({mirrors.prefix: position}, 0.0)
        reply = await server.serve(call)
        sent.append(msgspec.msgpack.encode(reply))
        relayed = await execute_for_peer(
            running.kv,
            ListCall(PLATFORM_KEYS.prefix_operator),
            False,
            PLATFORM_KEYS.conceal,
        )
        sent.append(msgspec.msgpack.encode(relayed))
    found = expect("names", sum(b"o1" in text for text in sent) > 8, True)
    stored = [
        item.value
        for item in fleet.store.items.values()
        if item.key != PLATFORM_KEYS.key_config
    ]
    eliot.remove_destination(lines.append)
    found += expect("lines", len(lines) > GATEWAYS, True)
    logged = [repr(line).encode() for line in lines]
    secrets = [k.encode() for k in (OLD_KEY, NEW_KEY, OTHER_KEY)]
    for what, texts in (
        ("messages", sent),
        ("records", stored),
        ("log", logged),
    ):
        shown = sum(s in text for s in secrets for text in texts)
        found += expect(what, shown, 0)
    return found


CASES: dict[str, Case] = {
    "plain calls": check_plain,
    "streams": check_streams,
    "no organisations": check_no_organisations,
    "the last organisation removed": check_last_organisation,
    "an unknown route": check_unknown_route,
    "a removed key": check_removed_key,
    "a removed key, gateways restarted": check_restarted,
    "items": check_items,
    "items of a removed organisation": check_removed_organisation,
    "submissions of another organisation": check_other_organisation,
    "a holder that doesn't compare": check_trusting_holder,
    "a holder of an earlier build": check_earlier_holder,
    "a submission of before": check_earlier_submission,
    "the store is away": check_store_away,
    "the store is away, strict": check_store_away_strict,
    "strict, in touch": check_strict_in_touch,
    "a suspended gateway, strict": check_suspended_strict,
    "a key in messages and records": check_messages,
}


def run_case(name: str) -> list[str]:
    """Run a case; return what is wrong."""
    revoke_s = REVOKE_S if "strict" in name else None
    plan = GatewayPlan(
        gateways=GATEWAYS,
        tenants=TENANTS,
        public_routes=("score",),
        key_rules=make_key_rules(APPLY_S, revoke_s),
    )

    async def run_plan() -> list[str]:
        fleet = GatewayFleet(plan)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await trio.sleep(3.0)
            found = await CASES[name](fleet)
            nursery.cancel_scope.cancel()
        return found

    return run_virtual(run_plan, 0, MAX_VIRTUAL_S)
