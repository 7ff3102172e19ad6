"""A trainer that fails over between entries."""

from dataclasses import dataclass
from dataclasses import field
import re
from typing import Final

import msgspec
from pistachiospar.adapters.http.address import parse_address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.adapters.http.models import HttpResponse
from pistachiospar.trainers.models import PullResponse
from pistachiospar.trainers.models import Sample
from pistachiospar.trainers.models import StepBody
import trio

TOKEN_PATTERN: Final = re.compile(r" (\S+)@(\d+)#(\d+)")
CALL_TIMEOUT_S: Final = 10.0
RETRY_DELAY_S: Final = 0.2
PULL_WAIT_MS: Final = 1000


class StepFailedError(Exception):
    """Rejection of a step, or failure to complete it in time."""


@dataclass(slots=True)
class StepRecord:
    """The samples received for a step and the time it took, in seconds.

    `lags` says by how many weight versions each sample is behind the trainer.
    `waited_s` is the time spent in successful pulls, `busy_s` that in
    training; `failures` counts the failed calls.
    """

    samples: list[Sample] = field(default_factory=list)
    lags: list[int] = field(default_factory=list)
    waited_s: float = 0.0
    busy_s: float = 0.0
    failures: int = 0

    def count_duplicates(self) -> int:
        """Return how many samples were received more than once."""
        names = [(s.group, s.index) for s in self.samples]
        return len(names) - len(set(names))

    def count_mislabelled(self) -> int:
        """Return how many samples have labels that contradict their text."""
        return sum(1 for s in self.samples if not is_labelled_correctly(s))


def is_labelled_correctly(sample: Sample) -> bool:
    """Return whether a sample's segments match the versions in its text.

    The tokens must also be numbered without gaps from 0.
    """
    generated_versions = [
        int(version) for _, version, _ in TOKEN_PATTERN.findall(sample.text)
    ]
    labelled_versions: list[int] = []
    for segment in sample.segments:
        labelled_versions.extend([segment.weight_version] * segment.tokens)
    numbers = [
        int(number) for _, _, number in TOKEN_PATTERN.findall(sample.text)
    ]
    return generated_versions == labelled_versions and numbers == list(
        range(len(numbers))
    )


class Trainer:
    """A trainer that runs steps through a list of entries."""

    def __init__(self, name: str, entries: list[str]) -> None:
        """Create a trainer that calls the first entry first."""
        self.name = name
        self.version = 0
        self._pools = [HttpPool(parse_address(entry)) for entry in entries]
        self._entry_number = 0

    async def announce_weights(self, version: int, source: str) -> None:
        """Announce new weights, with retries until an entry accepts them."""
        body = msgspec.json.encode({"version": version, "source": source})
        while True:
            response = await self._call(
                "POST", f"/trainers/{self.name}/weights", body
            )
            if response is not None and response.status == 202:
                self.version = version
                return
            await self._switch_entry()

    async def run_step(
        self,
        step: str,
        body: StepBody,
        timeout_s: float,
        train_s: float = 0.0,
    ) -> StepRecord:
        """Create a step and pull its samples until it is complete.

        `train_s` is the time that training on one sample takes, in seconds.
        Raises StepFailedError when the step is rejected or not complete after
        `timeout_s`.
        """
        record = StepRecord()
        cursor = ""
        with trio.move_on_after(timeout_s):
            await self._put_step(step, body, record)
            while True:
                started_at = trio.current_time()
                batch = await self._pull_samples(step, cursor, record)
                if batch is None:
                    await self._switch_entry()
                    await self._put_step(step, body, record)
                    continue
                record.waited_s += trio.current_time() - started_at
                cursor = batch.cursor
                self._record_samples(batch, record)
                batch_train_s = train_s * len(batch.samples)
                record.busy_s += batch_train_s
                await trio.sleep(batch_train_s)
                if batch.complete:
                    return record
        raise StepFailedError(f"{len(record.samples)} samples of {step}")

    def _record_samples(self, batch: PullResponse, record: StepRecord) -> None:
        """Add the samples of one response to the record."""
        for sample in batch.samples:
            record.samples.append(sample)
            record.lags.append(self.version - sample.find_oldest_version())

    async def _put_step(
        self, step: str, body: StepBody, record: StepRecord
    ) -> None:
        """Create a step, with retries; raises StepFailedError on a 4xx."""
        data = msgspec.json.encode(body)
        path = f"/trainers/{self.name}/steps/{step}"
        while True:
            response = await self._call("PUT", path, data)
            if response is not None and response.status in (200, 201):
                return
            if response is not None and response.status < 500:
                raise StepFailedError(response.body.decode())
            record.failures += 1
            await self._switch_entry()

    async def _pull_samples(
        self, step: str, cursor: str, record: StepRecord
    ) -> PullResponse | None:
        """Pull samples once; None after a failure."""
        path = f"/trainers/{self.name}/steps/{step}/samples"
        query = f"cursor={cursor}&wait_ms={PULL_WAIT_MS}"
        response = await self._call("GET", f"{path}?{query}", b"")
        if response is not None and response.status == 200:
            return msgspec.json.decode(response.body, type=PullResponse)
        record.failures += 1
        return None

    async def _call(
        self, method: str, target: str, body: bytes
    ) -> HttpResponse | None:
        """Call the current entry; None without a response."""
        pool = self._pools[self._entry_number % len(self._pools)]
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                return await pool.fetch(method, target, body=body)
        except (HttpError, trio.TooSlowError):
            return None

    async def _switch_entry(self) -> None:
        """Switch to the next entry after a delay."""
        self._entry_number += 1
        await trio.sleep(RETRY_DELAY_S)
