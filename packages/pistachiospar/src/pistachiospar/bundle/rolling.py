"""Support proposing, signing and rolling bundles, for the operators.

A roll is one compare-and-swap of the pointer. Its reply may be lost after
it took effect: each attempt carries a unique writer, and what is read back
decides. The same transaction writes the history, so that a roll is known
even after a later one has moved the pointer on.
"""

from dataclasses import dataclass
from random import Random
from secrets import token_hex
from typing import TypeAlias
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from . import const
from ..helpers.backoff import Backoff
from ..helpers.findings import Findings
from ..ports.kv import KeyValue
from ..ports.kv import KvItem
from ..ports.kv import KvPut
from .models import Bundle
from .models import Envelope
from .models import Release
from .models import Signature
from .signing import sign_digest
from .signing import verify_envelope

Message = TypeVar("Message")


@dataclass(frozen=True, slots=True)
class Rolled:
    """Tell that the roll took effect."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Beaten:
    """Tell that another roll won; this one did not take effect."""

    winner_version: int
    winner_digest: str


@dataclass(frozen=True, slots=True)
class RollRefused:
    """Tell that the roll was refused, with all findings."""

    findings: Findings


@dataclass(frozen=True, slots=True)
class RollUnknown:
    """Tell that the service did not answer in time.

    The roll may have taken effect; asking again resolves it.
    """

    detail: str


RollOutcome: TypeAlias = Rolled | Beaten | RollRefused | RollUnknown


@dataclass(frozen=True, slots=True)
class Pointer:
    """Hold the pointer as it was read."""

    envelope: Envelope | None
    revision: int


class BundleRoller:
    """Propose, sign and roll bundles."""

    def __init__(self, kv: KeyValue, rng: Random) -> None:
        """Take the service."""
        self._kv = kv
        self._rng = rng
        self._backoff = Backoff(0.1, 1.0)

    async def read_pointer(self) -> Result[Pointer, str]:
        """Read which release is in force."""
        answer = await self._kv.get_item(const.KEY_POINTER)
        if isinstance(answer, Err):
            return Err(answer.err_value.detail)
        item = answer.ok_value
        if item is None:
            return Ok(Pointer(None, 0))
        envelope = msgspec.json.decode(item.value, type=Envelope)
        return Ok(Pointer(envelope, item.revision))

    async def propose(self, bundle: Bundle) -> Result[Release, str]:
        """Write a proposal based on the release in force."""
        pointer = await self.read_pointer()
        if isinstance(pointer, Err):
            return pointer
        release = make_release(bundle, pointer.ok_value.envelope)
        key = const.PREFIX_BUNDLES + release.digest()
        written = await self._kv.put_item(key, release.encode())
        if isinstance(written, Err):
            return Err(written.err_value.detail)
        return Ok(release)

    async def sign(
        self, digest: str, partner: str, private_key: bytes
    ) -> Result[Signature, str]:
        """Add a partner's signature to a proposal."""
        found = await self.find_proposal(digest)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Err(f"no proposal {digest}")
        signature = sign_digest(digest, partner, private_key)
        name = f"{digest}/{partner}/{signature.public_key.replace('/', '_')}"
        written = await self._kv.put_item(
            const.PREFIX_SIGNATURES + name, msgspec.json.encode(signature)
        )
        if isinstance(written, Err):
            return Err(written.err_value.detail)
        return Ok(signature)

    async def find_proposal(self, digest: str) -> Result[Release | None, str]:
        """Return a proposal, or None."""
        answer = await self._kv.get_item(const.PREFIX_BUNDLES + digest)
        if isinstance(answer, Err):
            return Err(answer.err_value.detail)
        return Ok(_decode(answer.ok_value, Release))

    async def roll(
        self, digest: str, now_wall_s: float, deadline: float
    ) -> RollOutcome:
        """Roll a proposal; asks until the outcome is certain."""
        envelope: Envelope | None = None
        tries = 0
        while True:
            if envelope is None:
                made = await self._make_envelope(digest, now_wall_s)
                if isinstance(made, Err) and isinstance(
                    made.err_value, RollRefused
                ):
                    return made.err_value
                envelope = made.unwrap_or(None)
            if envelope is not None:
                outcome = await self._try_roll(envelope)
                if not isinstance(outcome, RollUnknown):
                    return outcome
            delay_s = self._backoff.draw_delay_s(tries, self._rng)
            tries += 1
            if trio.current_time() + delay_s > deadline:
                return RollUnknown("the key-value service did not answer")
            await trio.sleep(delay_s)

    async def list_history(self) -> Result[list[Envelope], str]:
        """Return all rolled releases, oldest first."""
        answer = await self._kv.list_items(const.PREFIX_HISTORY)
        if isinstance(answer, Err):
            return Err(answer.err_value.detail)
        found = [_decode(item, Envelope) for item in answer.ok_value[0]]
        return Ok([envelope for envelope in found if envelope is not None])

    async def _make_envelope(
        self, digest: str, now_wall_s: float
    ) -> Result[Envelope, RollRefused | RollUnknown]:
        """Gather a proposal and its signatures."""
        found = await self.find_proposal(digest)
        if isinstance(found, Err):
            return Err(RollUnknown(found.err_value))
        if found.ok_value is None:
            return Err(_refuse(digest, "no such proposal"))
        prefix = f"{const.PREFIX_SIGNATURES}{digest}/"
        listed = await self._kv.list_items(prefix)
        if isinstance(listed, Err):
            return Err(RollUnknown(listed.err_value.detail))
        signatures = [
            msgspec.json.decode(item.value, type=Signature)
            for item in listed.ok_value[0]
        ]
        return Ok(
            Envelope(found.ok_value, signatures, token_hex(16), now_wall_s)
        )

    async def _try_roll(self, envelope: Envelope) -> RollOutcome:
        """Read back, then move the pointer if it still stands right."""
        read = await self.read_pointer()
        if isinstance(read, Err):
            return RollUnknown(read.err_value)
        pointer = read.ok_value
        release = envelope.release
        current = pointer.envelope
        if current is not None:
            if current.release.version >= release.version:
                return await self._judge_past(envelope)
        refusal = check_roll(envelope, current)
        if refusal:
            return RollRefused(refusal)
        value = msgspec.json.encode(envelope)
        written = await self._kv.compare_and_swap(
            const.KEY_POINTER,
            value,
            pointer.revision,
            extra_puts=_make_records(envelope, current, value),
        )
        if isinstance(written, Ok) and written.ok_value.won:
            return Rolled(release.version, release.digest())
        return RollUnknown("to be read back")

    async def _judge_past(self, envelope: Envelope) -> RollOutcome:
        """Decide on a roll when its version is taken already.

        The history stands in the same transaction as the pointer: a reading
        without it is stale, and read again.
        """
        version = envelope.release.version
        answer = await self._kv.get_item(_name_history(version))
        if isinstance(answer, Err):
            return RollUnknown(answer.err_value.detail)
        winner = _decode(answer.ok_value, Envelope)
        if winner is None:
            return RollUnknown("the history is not there yet")
        if winner.writer == envelope.writer:
            return Rolled(version, envelope.release.digest())
        return Beaten(winner.release.version, winner.release.digest())


def make_release(bundle: Bundle, current: Envelope | None) -> Release:
    """Return the release that would follow the one in force."""
    if current is None:
        return Release(1, "", 1, bundle)
    before = current.release
    changed = bundle.public_keys() != before.bundle.public_keys()
    return Release(
        before.version + 1,
        before.digest(),
        before.epoch + (1 if changed else 0),
        bundle,
    )


def check_roll(envelope: Envelope, current: Envelope | None) -> Findings:
    """Return all that speaks against a roll."""
    findings = Findings()
    release = envelope.release
    digest = release.digest()
    expected = make_release(release.bundle, current)
    if release.previous != expected.previous:
        message = f"based on {release.previous or 'nothing'}, not on the "
        message += f"release in force {expected.previous or '(none)'}"
        findings.add(digest, "previous", 1, message)
    elif release.epoch != expected.epoch:
        findings.add(digest, "epoch", 1, f"should be {expected.epoch}")
    trusted = current.release.bundle.public_keys() if current else {}
    checked = verify_envelope(envelope, trusted)
    if isinstance(checked, Err):
        findings.items.extend(checked.err_value.items)
    return findings


def _make_records(
    envelope: Envelope, current: Envelope | None, value: bytes
) -> list[KvPut]:
    """Return what is written together with the pointer."""
    release = envelope.release
    records = [KvPut(_name_history(release.version), value)]
    if current is None or release.epoch != current.release.epoch:
        name = f"{const.PREFIX_EPOCHS}{release.epoch:08d}"
        records.append(KvPut(name, value))
    return records


def _name_history(version: int) -> str:
    """Return the key of a version's record."""
    return f"{const.PREFIX_HISTORY}{version:012d}"


def _refuse(digest: str, message: str) -> RollRefused:
    """Refuse for one reason."""
    findings = Findings()
    findings.add(digest, "", 1, message)
    return RollRefused(findings)


def _decode(item: KvItem | None, kind: type[Message]) -> Message | None:
    """Decode a value that may be absent."""
    if item is None:
        return None
    return msgspec.json.decode(item.value, type=kind)
