"""Cases of subsetting after losses and of a damaged data folder."""

from dataclasses import dataclass
from pathlib import Path
import tempfile

from pistachiospar.bundle.coordinator import BundleKeeper
from pistachiospar.bundle.files import load_bundle
from pistachiospar.bundle.files import save_bundle
from pistachiospar.bundle.models import Envelope
from pistachiospar.bundle.rolling import make_release
from pistachiospar.bundle.signing import sign_digest
from pistachiospar.live_state.models import EntryRecord
from pistachiospar.membership.subset import choose_subset
from pistachiospar.ports.instances import Instance
from pistachiospar_standins.fakes.entry_fleet import list_public_keys
from pistachiospar_standins.fakes.entry_fleet import make_private_keys

from .bundles import make_bundle
from .bundles import PARTNERS

ZONE_COUNT = 7


@dataclass(frozen=True, slots=True)
class Links:
    """All links, as pairs of entry and instance names."""

    pairs: frozenset[tuple[str, str]]

    def count_by_instance(self) -> dict[str, int]:
        """Return the number of entries by instance."""
        counts: dict[str, int] = {}
        for _, instance in self.pairs:
            counts[instance] = counts.get(instance, 0) + 1
        return counts

    def count_by_entry(self) -> dict[str, int]:
        """Return the number of links by entry."""
        counts: dict[str, int] = {}
        for entry, _ in self.pairs:
            counts[entry] = counts.get(entry, 0) + 1
        return counts


def make_entries(count: int) -> list[EntryRecord]:
    """Return entries spread evenly over the zones."""
    return [
        EntryRecord(f"entry-{n}", f"zone-{n % ZONE_COUNT}", "r", "", "")
        for n in range(count)
    ]


def make_instances(count: int) -> list[Instance]:
    """Return samplers spread evenly over the zones."""
    return [
        Instance(f"lm-{n}", "lm", f"zone-{n % ZONE_COUNT}", "", "")
        for n in range(count)
    ]


def link_all(entries: list[EntryRecord], instances: list[Instance]) -> Links:
    """Return the links that all entries choose."""
    return Links(
        frozenset(
            (entry.name, instance.name)
            for entry in entries
            for instance in choose_subset(entry, entries, instances)
        )
    )


def remove_part(
    part: str, entries: list[EntryRecord], instances: list[Instance]
) -> tuple[list[EntryRecord], list[Instance]]:
    """Return the entries and instances that remain after a loss."""
    match part:
        case "an entry":
            return entries[1:], instances
        case "an instance":
            return entries, instances[1:]
        case "a rack of 5 entries and 60 instances":
            return entries[5:], instances[60:]
        case "an availability zone":
            return (
                [e for e in entries if e.zone != "zone-0"],
                [i for i in instances if i.zone != "zone-0"],
            )
    return entries, instances


def reload_damaged_bundle(damage: str) -> int:
    """Save a bundle, damage its folder, load it; return the version."""
    keys = make_private_keys(PARTNERS)
    release = make_release(make_bundle(), None)
    digest = release.compute_digest()
    signatures = [sign_digest(digest, p, key) for p, key in keys.items()]
    keeper = BundleKeeper(list_public_keys(PARTNERS))
    keeper.offer_envelope(Envelope(release, signatures), 0.0)
    with tempfile.TemporaryDirectory() as folder:
        save_bundle(folder, keeper)
        file = Path(folder) / "bundle.json"
        match damage:
            case "nothing":
                pass
            case "a truncated file":
                file.write_bytes(file.read_bytes()[:40])
            case "a tampered share":
                text = file.read_text()
                file.write_text(text.replace('"share":0.6', '"share":0.9'))
            case "no file":
                file.unlink()
        reloaded = BundleKeeper(list_public_keys(PARTNERS))
        load_bundle(folder, reloaded, 0.0)
    return reloaded.version
