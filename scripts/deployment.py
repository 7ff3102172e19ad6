"""Plans of the example deployments, and the files that run them.

The files are the settings of all processes, the stand-ins' included, and the
bundle.
"""

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
    """Upstream, whose instances are placed in its zones in turn."""

    name: str
    kind: str
    instances: int
    zones: tuple[str, ...]
    slots: int
    details: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Zones, entries, upstreams and bundle of a deployment."""

    name: str
    zones: tuple[str, ...]
    entries: int
    upstreams: tuple[UpstreamPlan, ...]
    bundle: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ProcessPlan:
    """Settings file and addresses of a process to start."""

    name: str
    kind: str
    settings: Path
    listen: str = ""
    admin: str = ""


@dataclass(slots=True)
class Deployment:
    """Processes of a deployment, and the addresses that others use."""

    folder: Path
    plan: DeploymentPlan
    key_value: str = ""
    instance_list: str = ""
    weight_store: str = ""
    entries: list[str] = field(default_factory=list)
    processes: list[ProcessPlan] = field(default_factory=list)
    instances: list[dict[str, Any]] = field(default_factory=list)

    def find_process(self, name: str) -> ProcessPlan:
        """Return the process with a name; raises StopIteration."""
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


def make_free_port_finder() -> Callable[[], int]:
    """Return a function that finds another free port at each call."""
    issued_ports: set[int] = set()

    def find_port() -> int:
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = int(probe.getsockname()[1])
            if port not in issued_ports:
                issued_ports.add(port)
                return port

    return find_port


def make_port_counter(first: int) -> Callable[[], int]:
    """Return a function that counts up from the first port."""
    numbers = iter(range(first, 65536))
    return lambda: next(numbers)


def write_deployment(
    folder: Path,
    plan: DeploymentPlan,
    next_port: Callable[[], int],
    public_keys: dict[str, str],
    engine: dict[str, Any] | None = None,
) -> Deployment:
    """Write all files of a deployment into a folder, created if missing.

    `engine` holds settings for the engines' stand-ins.
    """
    folder.mkdir(parents=True, exist_ok=True)
    deployment = Deployment(folder, plan)

    def next_address() -> str:
        return f"{HOST}:{next_port()}"

    deployment.key_value = _add_standin(deployment, "kv", next_address(), {})
    deployment.weight_store = _add_standin(
        deployment, "weights", next_address(), {}
    )
    for upstream in plan.upstreams:
        for number in range(upstream.instances):
            _add_instance(
                deployment, upstream, number, next_address, public_keys, engine
            )
    deployment.instance_list = _add_standin(
        deployment,
        "instances",
        next_address(),
        {"instances": deployment.instances},
    )
    for number in range(plan.entries):
        _add_entry(deployment, number, next_address, public_keys)
    bundle = json.loads(json.dumps(plan.bundle))
    for partner in bundle["partners"]:
        partner["public_key"] = public_keys[partner["name"]]
    _write_commented_json(
        folder / "bundle.json5", bundle, "The bundle of " + plan.name
    )
    return deployment


def _add_standin(
    deployment: Deployment,
    kind: str,
    listen: str,
    settings: dict[str, Any],
    name: str = "",
) -> str:
    """Add a stand-in, named as its kind by default; return its address."""
    name = name or kind
    path = deployment.folder / f"standin-{name}.json5"
    _write_commented_json(
        path, settings, f"Stand-in {name}, listening on {listen}"
    )
    deployment.processes.append(ProcessPlan(name, kind, path, listen))
    return listen


def _add_instance(
    deployment: Deployment,
    upstream: UpstreamPlan,
    number: int,
    next_address: Callable[[], str],
    public_keys: dict[str, str],
    engine: dict[str, Any] | None,
) -> None:
    """Add an upstream instance and its sidecar."""
    name = f"{upstream.name}-{number + 1}"
    zone = upstream.zones[number % len(upstream.zones)]
    kind = "engine" if upstream.kind == "engine" else "service"
    upstream_settings: dict[str, Any] = (
        {"name": name} if kind == "service" else {}
    )
    if kind == "engine" and engine:
        upstream_settings = dict(engine)
    address = _add_standin(
        deployment, kind, next_address(), upstream_settings, f"upstream-{name}"
    )
    data, control, admin = next_address(), next_address(), next_address()
    path = deployment.folder / f"sidecar-{name}.json5"
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
    _write_commented_json(path, settings, f"The sidecar beside {name}")
    deployment.processes.append(
        ProcessPlan(name, "sidecar", path, admin=admin)
    )
    deployment.instances.append(
        {
            "name": name,
            "upstream": upstream.name,
            "zone": zone,
            "data": data,
            "control": control,
        }
    )


def _add_entry(
    deployment: Deployment,
    number: int,
    next_address: Callable[[], str],
    public_keys: dict[str, str],
) -> None:
    name = f"entry-{number + 1}"
    listen, admin, peer = next_address(), next_address(), next_address()
    path = deployment.folder / f"{name}.json5"
    settings = {
        "name": name,
        "zone": deployment.plan.zones[number % len(deployment.plan.zones)],
        "region": deployment.plan.name,
        "listen": listen,
        "admin": admin,
        "peer": peer,
        "key_value": deployment.key_value,
        "instance_list": deployment.instance_list,
        "first_partners": public_keys,
    }
    _write_commented_json(path, settings, f"{name} of {deployment.plan.name}")
    deployment.processes.append(
        ProcessPlan(name, "entry", path, listen, admin)
    )
    deployment.entries.append(listen)


def _write_commented_json(
    path: Path, values: dict[str, Any], comment: str
) -> None:
    """Write JSON below a line of comment."""
    text = f"// {comment}.\n{json.dumps(values, indent=2)}\n"
    path.write_text(text, encoding="utf-8")
