"""The bundle that tests use."""

from pistachiospar.bundle.models import Bundle
from pistachiospar.bundle.models import Caller
from pistachiospar.bundle.models import CallPattern
from pistachiospar.bundle.models import Partner
from pistachiospar.bundle.models import Trainer
from pistachiospar.bundle.models import Upstream
from pistachiospar.bundle.models import UpstreamKind
from pistachiospar_standins.fakes.entry_fleet import list_public_keys

PARTNERS = ["north", "south"]


def make_bundle(
    name: str = "test", shares: tuple[float, float] = (0.6, 0.4)
) -> Bundle:
    """Make a bundle with one engine and one plain upstream."""
    keys = list_public_keys(PARTNERS)
    return Bundle(
        name=name,
        partners=[
            Partner(partner, keys[partner], share)
            for partner, share in zip(PARTNERS, shares, strict=True)
        ],
        callers=[
            Caller("app", "north", 1),
            Caller("kiosk", "south", 1),
            Caller("billing", "south", 3),
        ],
        trainers=[
            Trainer("routes", "north", 3, "engine", 1),
            Trainer("clauses", "south", 2, "engine", 1),
        ],
        upstreams=[
            Upstream("engine", UpstreamKind.ENGINE, 20_000, 60_000),
            Upstream(
                "plain",
                UpstreamKind.PLAIN,
                5_000,
                10_000,
                [CallPattern("POST", "*")],
            ),
        ],
    )
