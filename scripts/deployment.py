"""Support writing the files of a deployment: settings, bundle, stand-ins."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import json
from pathlib import Path
import socket
from typing import Any

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """Plan an upstream: how many instances in which zones."""

    name: str
    kind: str
    instances: int
    zones: tuple[str, ...]
    slots: int
    details: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Plan a deployment."""

    name: str
    zones: tuple[str, ...]
    entries: int
    upstreams: tuple[UpstreamPlan, ...]
    bundle: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ProcessPlan:
    """Hold how to start one process."""

    name: str
    kind: str
    settings: Path
    listen: str = ""
    admin: str = ""


@dataclass(slots=True)
class Deployment:
    """Hold the processes of a deployment and their addresses."""

    folder: Path
    plan: DeploymentPlan
    key_value: str = ""
    instance_list: str = ""
    weight_store: str = ""
    entries: list[str] = field(default_factory=list)
    processes: list[ProcessPlan] = field(default_factory=list)
    instances: list[dict[str, Any]] = field(default_factory=list)

    def find(self, name: str) -> ProcessPlan:
        """Return the process of a name."""
        return next(p for p in self.processes if p.name == name)


LV_RIGA = DeploymentPlan(
    name="lv-riga",
    zones=("riga-a", "riga-b", "riga-c"),
    entries=2,
    upstreams=(
        UpstreamPlan(
            "lm-pool", "engine", 5, ("riga-a", "riga-b", "riga-c"), 16
        ),
        UpstreamPlan(
            "lampu-app", "plain", 3, ("riga-a", "riga-b", "riga-c"), 32
        ),
    ),
    bundle={
        "name": "lv-riga",
        "partners": [
            {"name": "dzintars", "public_key": "", "share": 0.6},
            {"name": "collectors", "public_key": "", "share": 0.4},
        ],
        "callers": [
            {"name": "booking-app", "partner": "collectors", "priority": 1},
            {"name": "weight-log", "partner": "collectors", "priority": 2},
            {"name": "assistant", "partner": "dzintars", "priority": 1},
        ],
        "trainers": [
            {
                "name": "routes",
                "partner": "dzintars",
                "priority": 3,
                "upstream": "lm-pool",
                "max_version_lag": 1,
            },
        ],
        "upstreams": [
            {
                "name": "lm-pool",
                "kind": "engine",
                "default_timeout_ms": 20000,
                "max_timeout_ms": 60000,
                "min_serving_share": 0.5,
            },
            {
                "name": "lampu-app",
                "kind": "plain",
                "default_timeout_ms": 5000,
                "max_timeout_ms": 10000,
                "not_repeatable": [{"method": "POST", "path": "*"}],
            },
        ],
    },
)

TBILISI = DeploymentPlan(
    name="tbilisi",
    zones=("vake", "saburtalo", "didube", "isani"),
    entries=2,
    upstreams=(
        UpstreamPlan(
            "clause-llm",
            "engine",
            4,
            ("vake", "saburtalo", "didube", "isani"),
            16,
        ),
        UpstreamPlan(
            "waiver-api",
            "plain",
            4,
            ("vake", "saburtalo", "didube", "isani"),
            32,
        ),
    ),
    bundle={
        "name": "tbilisi",
        "partners": [
            {"name": "mtatsminda", "public_key": "", "share": 0.7},
            {"name": "parks", "public_key": "", "share": 0.3},
        ],
        "callers": [
            {"name": "kiosk", "partner": "parks", "priority": 2},
            {"name": "billing", "partner": "mtatsminda", "priority": 3},
        ],
        "trainers": [
            {
                "name": "clauses",
                "partner": "mtatsminda",
                "priority": 1,
                "upstream": "clause-llm",
                "max_version_lag": 1,
            },
        ],
        "upstreams": [
            {
                "name": "clause-llm",
                "kind": "engine",
                "default_timeout_ms": 20000,
                "max_timeout_ms": 60000,
                "min_serving_share": 0.5,
            },
            {
                "name": "waiver-api",
                "kind": "plain",
                "default_timeout_ms": 3000,
                "max_timeout_ms": 10000,
                "not_repeatable": [
                    {"method": "POST", "path": "signatures*"},
                ],
            },
        ],
    },
)

PLANS = {plan.name: plan for plan in (LV_RIGA, TBILISI)}


def find_free_ports() -> Callable[[], int]:
    """Return a source of free ports; all differ."""
    given: set[int] = set()

    def take() -> int:
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = int(probe.getsockname()[1])
            if port not in given:
                given.add(port)
                return port

    return take


def count_ports(first: int) -> Callable[[], int]:
    """Return a source of ports that counts up."""
    numbers = iter(range(first, 65536))
    return lambda: next(numbers)


def write_deployment(
    folder: Path,
    plan: DeploymentPlan,
    take_port: Callable[[], int],
    public_keys: dict[str, str],
    engine: dict[str, Any] | None = None,
) -> Deployment:
    """Write all files of a deployment into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    made = Deployment(folder, plan)

    def take_address() -> str:
        return f"{HOST}:{take_port()}"

    made.key_value = _add_standin(made, "kv", take_address(), {})
    made.weight_store = _add_standin(made, "weights", take_address(), {})
    for upstream in plan.upstreams:
        for number in range(upstream.instances):
            _add_instance(
                made, upstream, number, take_address, public_keys, engine
            )
    made.instance_list = _add_standin(
        made, "instances", take_address(), {"instances": made.instances}
    )
    for number in range(plan.entries):
        _add_entry(made, number, take_address, public_keys)
    bundle = json.loads(json.dumps(plan.bundle))
    for partner in bundle["partners"]:
        partner["public_key"] = public_keys[partner["name"]]
    _write(folder / "bundle.json5", bundle, "The bundle of " + plan.name)
    return made


def _add_standin(
    made: Deployment,
    kind: str,
    listen: str,
    values: dict[str, Any],
    name: str = "",
) -> str:
    """Add a stand-in; return its address."""
    name = name or kind
    path = made.folder / f"standin-{name}.json5"
    _write(path, values, f"Stand-in {name}, listening on {listen}")
    made.processes.append(ProcessPlan(name, kind, path, listen))
    return listen


def _add_instance(
    made: Deployment,
    upstream: UpstreamPlan,
    number: int,
    take_address: Callable[[], str],
    public_keys: dict[str, str],
    engine: dict[str, Any] | None,
) -> None:
    """Add an upstream instance and its sidecar."""
    name = f"{upstream.name}-{number + 1}"
    zone = upstream.zones[number % len(upstream.zones)]
    kind = "engine" if upstream.kind == "engine" else "service"
    values: dict[str, Any] = {"name": name} if kind == "service" else {}
    if kind == "engine" and engine:
        values = dict(engine)
    address = _add_standin(
        made, kind, take_address(), values, f"upstream-{name}"
    )
    data, control, admin = take_address(), take_address(), take_address()
    path = made.folder / f"sidecar-{name}.json5"
    settings = {
        "name": name,
        "zone": zone,
        "admin": admin,
        "upstream": upstream.name,
        "kind": upstream.kind,
        "upstream_address": address,
        "data": data,
        "control": control,
        "slots": upstream.slots,
        "first_partners": public_keys,
    }
    _write(path, settings, f"The sidecar beside {name}")
    made.processes.append(ProcessPlan(name, "sidecar", path, admin=admin))
    made.instances.append(
        {
            "name": name,
            "upstream": upstream.name,
            "zone": zone,
            "data": data,
            "control": control,
        }
    )


def _add_entry(
    made: Deployment,
    number: int,
    take_address: Callable[[], str],
    public_keys: dict[str, str],
) -> None:
    """Add an entry."""
    name = f"entry-{number + 1}"
    listen, admin, peer = take_address(), take_address(), take_address()
    path = made.folder / f"{name}.json5"
    settings = {
        "name": name,
        "zone": made.plan.zones[number % len(made.plan.zones)],
        "region": made.plan.name,
        "listen": listen,
        "admin": admin,
        "peer": peer,
        "key_value": made.key_value,
        "instance_list": made.instance_list,
        "first_partners": public_keys,
    }
    _write(path, settings, f"{name} of {made.plan.name}")
    made.processes.append(ProcessPlan(name, "entry", path, listen, admin))
    made.entries.append(listen)


def _write(path: Path, values: dict[str, Any], comment: str) -> None:
    """Write JSON with a comment."""
    text = f"// {comment}.\n{json.dumps(values, indent=2)}\n"
    path.write_text(text, encoding="utf-8")
