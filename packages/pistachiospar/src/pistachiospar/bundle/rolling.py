"""Proposing, signing and rolling of bundles by operators.

A roll is one compare-and-swap of the pointer. Its reply may be lost after it
took effect, so each roll carries a unique writer and the value read back
decides. The same transaction writes the history, so that the outcome of a roll
can be read even after a later one has moved the pointer.
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
    """A roll that took effect."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class RollConflict:
    """A roll without effect, because another roll took the version."""

    winner_version: int
    winner_digest: str


@dataclass(frozen=True, slots=True)
class RollRefused:
    """A roll that was refused, for all the reasons in `findings`."""

    findings: Findings


@dataclass(frozen=True, slots=True)
class RollUnknown:
    """A roll that may have taken effect; another attempt resolves it.

    The key-value service did not answer in time.
    """

    detail: str


RollOutcome: TypeAlias = Rolled | RollConflict | RollRefused | RollUnknown


@dataclass(frozen=True, slots=True)
class PointerState:
    """The pointer as read; revision 0 without an envelope before any roll."""

    envelope: Envelope | None
    revision: int


class BundleRoller:
    """Propose, sign and roll bundles."""

    def __init__(self, kv: KeyValue, rng: Random) -> None:
        """Use a key-value service; `rng` draws the retry delays."""
        self._kv = kv
        self._rng = rng
        self._backoff = Backoff(0.1, 1.0)

    async def read_pointer(self) -> Result[PointerState, str]:
        """Read the release in force."""
        response = await self._kv.get_item(const.KEY_POINTER)
        if isinstance(response, Err):
            return Err(response.err_value.detail)
        item = response.ok_value
        if item is None:
            return Ok(PointerState(None, 0))
        envelope = msgspec.json.decode(item.value, type=Envelope)
        return Ok(PointerState(envelope, item.revision))

    async def propose(self, bundle: Bundle) -> Result[Release, str]:
        """Write a proposal to follow the release in force."""
        pointer = await self.read_pointer()
        if isinstance(pointer, Err):
            return pointer
        release = make_release(bundle, pointer.ok_value.envelope)
        key = const.PREFIX_BUNDLES + release.compute_digest()
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
        """Return a proposal, None when there is none."""
        response = await self._kv.get_item(const.PREFIX_BUNDLES + digest)
        if isinstance(response, Err):
            return Err(response.err_value.detail)
        return Ok(_decode_item(response.ok_value, Release))

    async def roll(
        self, digest: str, now_wall_s: float, deadline: float
    ) -> RollOutcome:
        """Roll a proposal; retry until the outcome is certain.

        `deadline` is monotonic; RollUnknown is returned after it.
        """
        envelope: Envelope | None = None
        attempts = 0
        while True:
            if envelope is None:
                made = await self._make_envelope(digest, now_wall_s)
                if isinstance(made, Err) and isinstance(
                    made.err_value, RollRefused
                ):
                    return made.err_value
                envelope = made.unwrap_or(None)
            if envelope is not None:
                outcome = await self._attempt_roll(envelope)
                if not isinstance(outcome, RollUnknown):
                    return outcome
            delay_s = self._backoff.draw_delay_s(attempts, self._rng)
            attempts += 1
            if trio.current_time() + delay_s > deadline:
                return RollUnknown("the key-value service did not answer")
            await trio.sleep(delay_s)

    async def list_history(self) -> Result[list[Envelope], str]:
        """Return the envelopes of all rolled releases, oldest first."""
        response = await self._kv.list_items(const.PREFIX_HISTORY)
        if isinstance(response, Err):
            return Err(response.err_value.detail)
        found = [_decode_item(item, Envelope) for item in response.ok_value[0]]
        return Ok([envelope for envelope in found if envelope is not None])

    async def _make_envelope(
        self, digest: str, now_wall_s: float
    ) -> Result[Envelope, RollRefused | RollUnknown]:
        """Make the envelope of a proposal from its stored signatures."""
        found = await self.find_proposal(digest)
        if isinstance(found, Err):
            return Err(RollUnknown(found.err_value))
        if found.ok_value is None:
            return Err(_make_refusal(digest, "no such proposal"))
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

    async def _attempt_roll(self, envelope: Envelope) -> RollOutcome:
        """Swap the pointer unless it is at this or a later version already.

        RollUnknown asks for another attempt, which reads the pointer back.
        """
        read = await self.read_pointer()
        if isinstance(read, Err):
            return RollUnknown(read.err_value)
        pointer = read.ok_value
        release = envelope.release
        current = pointer.envelope
        if current is not None:
            if current.release.version >= release.version:
                return await self._resolve_past_roll(envelope)
        refusal = check_roll(envelope, current)
        if refusal:
            return RollRefused(refusal)
        value = msgspec.json.encode(envelope)
        written = await self._kv.compare_and_swap(
            const.KEY_POINTER,
            value,
            pointer.revision,
            extra_puts=_make_history_puts(envelope, current, value),
        )
        if isinstance(written, Ok) and written.ok_value.won:
            return Rolled(release.version, release.compute_digest())
        return RollUnknown("the pointer has to be read back")

    async def _resolve_past_roll(self, envelope: Envelope) -> RollOutcome:
        """Return the outcome of a roll whose version is already taken.

        The history is written in the same transaction as the pointer, so a
        read that lacks it is stale and is repeated.
        """
        version = envelope.release.version
        response = await self._kv.get_item(_make_history_key(version))
        if isinstance(response, Err):
            return RollUnknown(response.err_value.detail)
        winner = _decode_item(response.ok_value, Envelope)
        if winner is None:
            return RollUnknown("the history that was read is stale")
        if winner.writer == envelope.writer:
            return Rolled(version, envelope.release.compute_digest())
        return RollConflict(
            winner.release.version, winner.release.compute_digest()
        )


def make_release(bundle: Bundle, current: Envelope | None) -> Release:
    """Make the release that would follow the one in force."""
    if current is None:
        return Release(1, "", 1, bundle)
    before = current.release
    changed = bundle.get_public_keys() != before.bundle.get_public_keys()
    return Release(
        before.version + 1,
        before.compute_digest(),
        before.epoch + (1 if changed else 0),
        bundle,
    )


def check_roll(envelope: Envelope, current: Envelope | None) -> Findings:
    """Return the reasons to refuse a roll."""
    findings = Findings()
    release = envelope.release
    digest = release.compute_digest()
    expected = make_release(release.bundle, current)
    if release.previous != expected.previous:
        message = f"based on {release.previous or 'nothing'}, not on the "
        message += f"release in force {expected.previous or '(none)'}"
        findings.add(digest, "previous", 1, message)
    elif release.epoch != expected.epoch:
        findings.add(digest, "epoch", 1, f"should be {expected.epoch}")
    trusted = current.release.bundle.get_public_keys() if current else {}
    checked = verify_envelope(envelope, trusted)
    if isinstance(checked, Err):
        findings.items.extend(checked.err_value.items)
    return findings


def _make_history_puts(
    envelope: Envelope, current: Envelope | None, value: bytes
) -> list[KvPut]:
    """Return the history and epoch writes that go with the pointer."""
    release = envelope.release
    puts = [KvPut(_make_history_key(release.version), value)]
    if current is None or release.epoch != current.release.epoch:
        name = f"{const.PREFIX_EPOCHS}{release.epoch:08d}"
        puts.append(KvPut(name, value))
    return puts


def _make_history_key(version: int) -> str:
    """Return the history key of a version."""
    return f"{const.PREFIX_HISTORY}{version:012d}"


def _make_refusal(digest: str, message: str) -> RollRefused:
    """Make a refusal with one finding."""
    findings = Findings()
    findings.add(digest, "", 1, message)
    return RollRefused(findings)


def _decode_item(item: KvItem | None, kind: type[Message]) -> Message | None:
    """Decode the value of an item, None when there is no item."""
    if item is None:
        return None
    return msgspec.json.decode(item.value, type=kind)
