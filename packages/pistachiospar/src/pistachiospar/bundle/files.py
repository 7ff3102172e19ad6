"""Support keeping the bundle in a data folder, where there is one.

What is read back is offered like any other envelope: it is verified, and a
newer one that is heard of goes before it. The folder may vanish.
"""

from pathlib import Path

import msgspec

from ..telemetry.logs import log_event
from .const import BUNDLE_FILE
from .coordinator import BundleKeeper
from .models import Envelope


def load_bundle(folder: str, keeper: BundleKeeper, now: float) -> None:
    """Offer the envelopes of the folder to the keeper."""
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
        keeper.offer(envelope, now)


def save_bundle(folder: str, keeper: BundleKeeper) -> None:
    """Write the envelopes that a new process needs, in one step."""
    if not folder:
        return
    path = Path(folder) / BUNDLE_FILE
    new = path.with_suffix(".new")
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        new.write_bytes(msgspec.json.encode(keeper.collect_for(0)))
        new.replace(path)
    except OSError as error:
        log_event("bundle_file_unwritable", file=str(path), error=str(error))
