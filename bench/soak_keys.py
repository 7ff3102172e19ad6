"""Organisations and keys of a soak, and what must not run without one."""

from typing import Protocol

from pistachiospar.adapters.http.models import HttpRequest
from pistachiospar_standins.fakes.gateway_fleet import HOST
from pistachiospar_standins.fakes.gateway_fleet import PLAIN_PREFIX
from pistachiospar_standins.fakes.gateway_plan import GatewayPlan
from pistachiospar_standins.fakes.recorders import ResponseRecorder
from pistachiospar_standins.fakes.samplers import RunRecord

ORGANISATION = "soak"
OTHER = "other"
AUTHORIZATION = ("Authorization", "Bearer key-of-soak")
REMOVED_KEY = "Bearer key-of-other"
UNHELD_KEY = "Bearer key-of-nobody"
TENANTS: list[dict[str, object]] = [
    {"name": ORGANISATION, "apiKeys": ["key-of-soak"], "priority": 1},
    {"name": OTHER, "apiKeys": ["key-of-other"]},
]
SCORE_CALLS = "score-"
PROBE_CALLS = "probe-"
STATUS_UNAUTHORIZED = 401


class KeyedFleet(Protocol):
    """What the checks of keys need of a fleet of processes."""

    plan: GatewayPlan

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""

    async def send_request(
        self, gateway: str, request: HttpRequest
    ) -> ResponseRecorder | None:
        """Send a request; None when no response came in time."""


def remove_organisation(fleet: KeyedFleet) -> None:
    """Take the other organisation out of the configuration."""
    fleet.plan.tenants = TENANTS[:1]
    fleet.write_configuration()


async def probe_keys(fleet: KeyedFleet) -> list[str]:
    """Call each gateway with keys that aren't held, or not any more."""
    violations = []
    for number in range(fleet.plan.gateways):
        for key in (REMOVED_KEY, UNHELD_KEY):
            headers = {
                "host": HOST,
                "request-id": f"{PROBE_CALLS}{number}-{key[-6:]}",
                "deadline-ms": "2000",
                "authorization": key,
            }
            target = f"{PLAIN_PREFIX}probe"
            request = HttpRequest("POST", target, "", headers, target=target)
            got = await fleet.send_request(f"g{number}", request)
            if got is None or got.status != STATUS_UNAUTHORIZED:
                status = None if got is None else got.status
                violations.append(f"g{number}: {status} for a key not held")
    return violations


def find_key_violations(runs: list[RunRecord]) -> list[str]:
    """Return the runs under another organisation than their caller's."""
    violations = []
    for run in runs:
        if run.call_id.startswith(PROBE_CALLS):
            violations.append(f"{run.call_id} ran with a key not held")
            continue
        is_public = run.call_id.startswith(SCORE_CALLS)
        expected = "" if is_public else ORGANISATION
        if run.organisation != expected:
            violations.append(
                f"{run.call_id} ran as {run.organisation!r}, not {expected!r}"
            )
    return violations
