"""Support the durable record: submissions, their ends, their results."""

import msgspec
from result import Err
from result import Ok
from result import Result

from . import const
from ..ports.kv import KeyValue
from ..ports.kv import KvCheck
from ..ports.kv import KvError
from ..ports.kv import KvFault
from ..ports.kv import KvPut
from ..ports.kv import KvTransaction
from .keys import make_end_key
from .keys import make_part_key
from .keys import make_results_prefix
from .keys import make_submission_key
from .keys import read_position
from .models import SampleResult
from .models import Submission
from .models import SubmissionHead


class Archive:
    """Read and write the records in the key-value service."""

    def __init__(self, kv: KeyValue, value_bytes: int) -> None:
        """Take the service and the largest value it holds, in bytes."""
        self.kv = kv
        self.value_bytes = value_bytes
        # Room for the encoding that carries a value.
        self._part_bytes = value_bytes * 2 // 3

    async def accept(self, submission: Submission) -> Result[bool, KvError]:
        """Keep a submission; False when its id is taken already.

        An UNKNOWN fault leaves open whether it is kept.
        """
        encoded = msgspec.msgpack.encode(submission)
        size = self._part_bytes
        parts = [encoded[i : i + size] for i in range(0, len(encoded), size)]
        if len(parts) > const.MOST_PARTS:
            return Err(KvError(KvFault.NOT_SENT, "too large to keep"))
        key = make_submission_key(submission.id)
        head = SubmissionHead(
            len(parts), submission.model, submission.arrived_s
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
            # The same transaction again settles it: it can win only once.
            written = await self.kv.commit(transaction)
        return written.map(lambda outcome: outcome.won)

    async def load(
        self, submission: str
    ) -> Result[Submission | None, KvError]:
        """Return a submission's record, or None."""
        item = await self.kv.get_item(make_submission_key(submission))
        if isinstance(item, Err):
            return item
        if item.ok_value is None:
            return Ok(None)
        head = decode_head(item.ok_value.value)
        return await self.read_parts(submission, head.parts)

    async def read_parts(
        self, submission: str, parts: int
    ) -> Result[Submission, KvError]:
        """Return a submission, read from its parts."""
        encoded = b""
        for number in range(parts):
            part = await self.kv.get_item(make_part_key(submission, number))
            if isinstance(part, Err):
                return part
            if part.ok_value is None:
                return Err(KvError(KvFault.UNKNOWN, "a part is missing"))
            encoded += part.ok_value.value
        return Ok(msgspec.msgpack.decode(encoded, type=Submission))

    async def mark_end(self, submission: str) -> Result[int, KvError]:
        """Mark a submission as ended."""
        return await self.kv.put_item(make_end_key(submission), b"")

    async def load_results(
        self, submission: str
    ) -> Result[list[SampleResult], KvError]:
        """Return all results of a submission, in order."""
        answer = await self.kv.list_items(make_results_prefix(submission))
        if isinstance(answer, Err):
            return answer
        results: list[SampleResult] = []
        for item in sorted(answer.ok_value[0], key=lambda item: item.key):
            if read_position(item.key) != len(results):
                detail = f"results missing before {item.key}"
                return Err(KvError(KvFault.UNKNOWN, detail))
            results.extend(decode_results(item.value))
        return Ok(results)


def decode_head(value: bytes) -> SubmissionHead:
    """Decode the head of a submission's record."""
    return msgspec.msgpack.decode(value, type=SubmissionHead)


def encode_results(results: list[SampleResult]) -> bytes:
    """Encode results for one key."""
    return msgspec.msgpack.encode(results)


def decode_results(value: bytes) -> list[SampleResult]:
    """Decode the results of one key."""
    return msgspec.msgpack.decode(value, type=list[SampleResult])
