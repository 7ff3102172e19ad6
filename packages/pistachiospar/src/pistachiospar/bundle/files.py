"""Cache of the bundle in a data folder, if one is configured.

Envelopes that are read back are offered like any others: they are verified and
replaced by newer ones. The folder may be lost.
"""

from pathlib import Path

import msgspec

from ..telemetry.logs import log_event
from .const import BUNDLE_FILE
from .coordinator import BundleKeeper
from .models import Envelope


def load_bundle(folder: str, keeper: BundleKeeper, now: float) -> None:
    """Offer the saved envelopes; a missing or unreadable file is skipped."""
    if not folder:
        return
    path = Path(folder) / BUNDLE_FILE
    try:
        data = path.read_bytes()
        envelopes = msgspec.json.decode(data, type=list[Envelope])
    except FileNotFoundError:
        return
    except (OSError, msgspec.MsgspecError) as error:
        log_event("bundle_file_unreadable", file=str(path), error=str(error))
        return
    for envelope in envelopes:
        keeper.offer_envelope(envelope, now)


def save_bundle(folder: str, keeper: BundleKeeper) -> None:
    """Write the envelopes that a new process needs, atomically."""
    if not folder:
        return
    path = Path(folder) / BUNDLE_FILE
    temporary = path.with_suffix(".new")
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        temporary.write_bytes(
            msgspec.json.encode(keeper.collect_envelopes_after(0))
        )
        temporary.replace(path)
    except OSError as error:
        log_event("bundle_file_unwritable", file=str(path), error=str(error))
