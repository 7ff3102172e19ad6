"""Writes of which one attempt may have had an effect.

Guard: a submission that is answered 'not run' although it may be stored,
since a later attempt was refused.
"""

from random import Random
from typing import Any

from pistachiospar.kv_access.messages import KvCall
from pistachiospar.kv_access.messages import KvReply
from pistachiospar.kv_access.relayed import RelayedKeyValue
from pistachiospar.ports.kv import KvError
from pistachiospar.ports.kv import KvFault
from pistachiospar.ports.kv import KvTransaction
from pistachiospar.ports.kv import KvWriteResult
from pistachiospar.submissions.archive import Archive
from pistachiospar.submissions.models import OwnerRecord
from pistachiospar.submissions.models import Submission
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.fakes.entry_fleet import run_virtual
from result import Err
from result import Ok
from result import Result

SUBMISSION = Submission("sub", "h", "/", "m", 1, 1, 1, [], 0.0)
OWNER = OwnerRecord("pool", 1)


class ScriptedWrites:
    """A store, and peers before it, that reply as they are told.

    Each word is the outcome of a write: done, refused (NOT_SENT), lost
    (UNKNOWN), or away (a peer that can't be reached).
    """

    def __init__(self, store: str, peers: str) -> None:
        """Take the outcomes in order, the last one for all further ones."""
        self._store = store.split()
        self._peers = peers.split()

    async def commit(
        self, transaction: KvTransaction
    ) -> Result[KvWriteResult, KvError]:
        """Return the next outcome of the store."""
        match _pop(self._store):
            case "done":
                return Ok(KvWriteResult(True, 7))
            case "refused":
                return Err(KvError(KvFault.NOT_SENT, "refused"))
        return Err(KvError(KvFault.UNKNOWN, "lost"))

    async def call_kv(self, address: str, call: KvCall) -> KvReply | None:
        """Return the next outcome of the peers."""
        match _pop(self._peers):
            case "done":
                return KvReply(won=True, number=7)
            case "refused":
                return KvReply(fault=KvFault.NOT_SENT, detail="refused")
            case "lost":
                return KvReply(fault=KvFault.UNKNOWN, detail="lost")
        return None


def _pop(outcomes: list[str]) -> str:
    """Return the next outcome; the last one stays."""
    return outcomes.pop(0) if len(outcomes) > 1 else outcomes[0]


def store_submission(store: str, peers: str) -> str:
    """Store a submission through scripted replies; return the outcome."""

    async def work() -> str:
        script: Any = ScriptedWrites(store, peers)
        kv = RelayedKeyValue(
            script, script, lambda: ["a", "b"], Metrics(), Random(1)
        )
        archive = Archive(kv, 1_000_000, Metrics())
        stored = await archive.store_submission(SUBMISSION, OWNER)
        return "stored" if stored.is_ok() else stored.unwrap_err().fault.value

    found: str = run_virtual(work, 1, 60.0)
    return found
