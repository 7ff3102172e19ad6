"""Durable records of submissions, their ends and their results."""

import msgspec
from result import Err
from result import Ok
from result import Result

from . import const
from ..helpers.text import count_bytes
from ..pool_holders.models import Role
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvError
from ..ports.kv import KvFault
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .keys import make_end_key
from .keys import make_owner_key
from .keys import make_part_key
from .keys import make_results_prefix
from .keys import make_submission_key
from .keys import parse_position
from .models import OwnerRecord
from .models import SampleResult
from .models import Submission
from .models import SubmissionHead


class Archive:
    """Read and write submission records in the key-value service.

    `damaged` names the submissions of which results are missing.
    """

    def __init__(
        self, kv: KeyValue, value_bytes: int, metrics: Metrics
    ) -> None:
        """Initialize; `value_bytes` is the largest value the service takes."""
        self.kv = kv
        self.value_bytes = value_bytes
        self.damaged: set[str] = set()
        self._metrics = metrics
        # Leaves room for the overhead of encoding a value in a call.
        self._part_bytes = value_bytes * 2 // 3

    async def store_submission(
        self, submission: Submission, owner: OwnerRecord
    ) -> Result[bool, KvError]:
        """Store a submission; return False when its id is already taken.

        `owner` is its first one. After an UNKNOWN fault the submission may or
        may not be stored.
        """
        encoded = msgspec.msgpack.encode(submission)
        size = self._part_bytes
        parts = [encoded[i : i + size] for i in range(0, len(encoded), size)]
        if len(parts) > const.MAX_PARTS:
            return Err(
                KvError(KvFault.NOT_SENT, "submission is too large to store")
            )
        key = make_submission_key(submission.id)
        head = SubmissionHead(
            len(parts),
            submission.model,
            submission.arrived_s,
            submission.organisation,
            submission.host,
            submission.path,
            owner,
        )
        puts = [KvPut(key, msgspec.msgpack.encode(head))]
        puts += [
            KvPut(make_part_key(submission.id, number), part)
            for number, part in enumerate(parts)
        ]
        transaction = KvTransaction((KvCheck(key, 0),), tuple(puts))
        written = await self.kv.commit(transaction)
        if isinstance(written, Err) and (
            written.err_value.fault is KvFault.UNKNOWN
        ):
            # Repeating the transaction resolves the unknown outcome, since it
            # can win only once. If it fails, that tells nothing of the first.
            repeated = await self.kv.commit(transaction)
            if isinstance(repeated, Ok):
                written = repeated
        return written.map(lambda outcome: outcome.won)

    async def load_submission(
        self, submission: str
    ) -> Result[Submission | None, KvError]:
        """Return a stored submission; None when there is none."""
        item = await self.kv.get_item(make_submission_key(submission))
        if isinstance(item, Err):
            return item
        if item.ok_value is None:
            return Ok(None)
        head = decode_head(item.ok_value.value)
        return await self.read_parts(submission, head.parts)

    async def find_owner(self, submission: str) -> Result[str | None, KvError]:
        """Return a submission's organisation; None without a submission."""
        item = await self.kv.get_item(make_submission_key(submission))
        return item.map(
            lambda found: (
                decode_head(found.value).organisation
                if found is not None
                else None
            )
        )

    async def read_owner(
        self, submission: str
    ) -> Result[tuple[OwnerRecord, int] | None, KvError]:
        """Return the owner that replaced the first one, and its revision.

        None when there is none.
        """
        item = await self.kv.get_item(make_owner_key(submission))
        return item.map(
            lambda found: (
                (decode_owner(found.value), found.revision)
                if found is not None
                else None
            )
        )

    async def claim_submission(
        self,
        submission: str,
        owner: OwnerRecord,
        role: Role,
        head_revision: int,
        owner_revision: int,
    ) -> Result[int, KvError]:
        """Replace a submission's owner; return the new owner's revision.

        0 when another holder has the role or the record has changed. An
        `owner_revision` of 0 means that its first owner still has it.
        """
        key = make_owner_key(submission)
        transaction = KvTransaction(
            (
                KvCheck(role.key, role.fence),
                KvCheck(make_submission_key(submission), head_revision),
                KvCheck(key, owner_revision),
            ),
            (KvPut(key, msgspec.msgpack.encode(owner)),),
        )
        written = await self.kv.commit(transaction)
        return written.map(lambda got: got.revision if got.won else 0)

    async def read_parts(
        self, submission: str, parts: int
    ) -> Result[Submission, KvError]:
        """Read and decode the parts of a submission's record."""
        encoded = b""
        for number in range(parts):
            part = await self.kv.get_item(make_part_key(submission, number))
            if isinstance(part, Err):
                return part
            if part.ok_value is None:
                return Err(
                    KvError(
                        KvFault.UNKNOWN, "a part of the submission is missing"
                    )
                )
            encoded += part.ok_value.value
        return Ok(msgspec.msgpack.decode(encoded, type=Submission))

    async def mark_ended(self, submission: str) -> Result[int, KvError]:
        """Mark a submission as ended; return the service's revision."""
        return await self.kv.put_item(make_end_key(submission), b"")

    async def load_results(
        self, submission: str
    ) -> Result[list[SampleResult], KvError]:
        """Return all results of a submission in order.

        A gap in the positions is a DAMAGED fault.
        """
        listing = await self.kv.list_items(make_results_prefix(submission))
        if isinstance(listing, Err):
            return listing
        results: list[SampleResult] = []
        for item in sorted(listing.ok_value[0], key=lambda item: item.key):
            if parse_position(item.key) != len(results):
                detail = f"results are missing before key {item.key}"
                self._report_damage(submission, detail)
                return Err(KvError(KvFault.DAMAGED, detail))
            results.extend(decode_results(item.value))
        return Ok(results)

    def _report_damage(self, submission: str, detail: str) -> None:
        """Log and count a damaged submission, once."""
        if submission in self.damaged:
            return
        self.damaged.add(submission)
        self._metrics.count("submissions_damaged")
        log_event("submission_damaged", submission=submission, detail=detail)


def decode_head(value: bytes) -> SubmissionHead:
    return msgspec.msgpack.decode(value, type=SubmissionHead)


def decode_owner(value: bytes) -> OwnerRecord:
    return msgspec.msgpack.decode(value, type=OwnerRecord)


def measure_result(result: SampleResult) -> int:
    """Return about how many bytes a result takes."""
    return const.RESULT_OVERHEAD_BYTES + count_bytes(result.text)


def encode_results(results: list[SampleResult]) -> bytes:
    """Encode the results that are stored under one key."""
    return msgspec.msgpack.encode(results)


def decode_results(value: bytes) -> list[SampleResult]:
    return msgspec.msgpack.decode(value, type=list[SampleResult])
