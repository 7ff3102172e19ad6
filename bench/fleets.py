"""Plans and bundles that run both example deployments over the fakes."""

from pathlib import Path
import sys

import msgspec
from pistachiospar.bundle.models import Bundle
from pistachiospar_standins.engine.core import EngineSettings
from pistachiospar_standins.fakes.entry_fleet import FleetPlan
from pistachiospar_standins.fakes.entry_fleet import list_public_keys

ROOT_FOLDER = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT_FOLDER / "scripts"))
sys.path.insert(0, str(ROOT_FOLDER / "features"))

from deployment import DeploymentPlan  # noqa: E402
from deployment import PLANS  # noqa: E402

ENGINE_SETTINGS = EngineSettings(
    token_s=0.02,
    prefill_s=0.2,
    swap_s=1.0,
    chunk_tokens=8,
    batch_slowdown=0.02,
    tail_share=0.02,
    tail_factor=6.0,
)


def make_bundle(plan: DeploymentPlan) -> Bundle:
    """Return a deployment's bundle with test keys."""
    partners = [str(p["name"]) for p in plan.bundle["partners"]]
    keys = list_public_keys(partners)
    values = {
        **plan.bundle,
        "partners": [
            {**p, "public_key": keys[str(p["name"])]}
            for p in plan.bundle["partners"]
        ],
    }
    return msgspec.convert(values, Bundle)


def make_plan(
    name: str,
    seed: int,
    service_s: float = 0.02,
    slots: int = 16,
    bundle: Bundle | None = None,
) -> FleetPlan:
    """Return the plan of a deployment's fleet in memory."""
    plan = PLANS[name]
    return FleetPlan(
        bundle=bundle or make_bundle(plan),
        entries=plan.entries,
        instances={u.name: u.instances for u in plan.upstreams},
        zones=plan.zones,
        slots=slots,
        service_duration_s=service_s,
        engine=ENGINE_SETTINGS,
        seed=seed,
    )


def find_deployment_names(name: str) -> tuple[str, str, str]:
    """Return the names of the engine, the plain upstream and the trainer."""
    plan = PLANS[name]
    engine = next(u.name for u in plan.upstreams if u.kind == "engine")
    plain = next(u.name for u in plan.upstreams if u.kind == "plain")
    return engine, plain, str(plan.bundle["trainers"][0]["name"])
