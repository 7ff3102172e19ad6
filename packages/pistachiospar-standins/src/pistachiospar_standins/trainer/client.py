"""Support a trainer that goes on through any entry."""

from dataclasses import dataclass
from dataclasses import field
import re
from typing import Final

import msgspec
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.client import parse_address
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.adapters.http.models import HttpResponse
from pistachiospar.trainers.models import PullResponse
from pistachiospar.trainers.models import Sample
from pistachiospar.trainers.models import StepBody
import trio

TOKEN: Final = re.compile(r" (\S+)@(\d+)#(\d+)")
CALL_TIMEOUT_S: Final = 10.0
PAUSE_S: Final = 0.2
WAIT_MS: Final = 1000


class StepFailedError(Exception):
    """Tell that a step could not be had."""


@dataclass(slots=True)
class StepRecord:
    """Hold what a trainer took of a step; times are in seconds."""

    samples: list[Sample] = field(default_factory=list)
    lags: list[int] = field(default_factory=list)
    waited_s: float = 0.0
    busy_s: float = 0.0
    failures: int = 0

    def count_doubled(self) -> int:
        """Return how many samples came more than once."""
        names = [(s.group, s.index) for s in self.samples]
        return len(names) - len(set(names))

    def count_mislabelled(self) -> int:
        """Return how many samples name other versions than made them."""
        return sum(1 for s in self.samples if not is_label_true(s))


def is_label_true(sample: Sample) -> bool:
    """Return whether the labels agree with what the tokens say."""
    made = [int(version) for _, version, _ in TOKEN.findall(sample.text)]
    said: list[int] = []
    for segment in sample.segments:
        said.extend([segment.weight_version] * segment.tokens)
    numbers = [int(number) for _, _, number in TOKEN.findall(sample.text)]
    return made == said and numbers == list(range(len(numbers)))


class Trainer:
    """Run steps through a list of entries."""

    def __init__(self, name: str, entries: list[str]) -> None:
        """Begin with the first entry."""
        self.name = name
        self.version = 0
        self._pools = [HttpPool(parse_address(entry)) for entry in entries]
        self._turn = 0

    async def announce(self, version: int, source: str) -> None:
        """Announce new weights until they are taken."""
        body = msgspec.json.encode({"version": version, "source": source})
        while True:
            answer = await self._call(
                "POST", f"/trainers/{self.name}/weights", body
            )
            if answer is not None and answer.status == 202:
                self.version = version
                return
            await self._go_on()

    async def run_step(
        self,
        step: str,
        body: StepBody,
        timeout_s: float,
        train_s: float = 0.0,
    ) -> StepRecord:
        """Put a step and take its samples; raises StepFailedError.

        `train_s` is the time that training on one sample takes.
        """
        record = StepRecord()
        cursor = ""
        with trio.move_on_after(timeout_s):
            await self._put(step, body, record)
            while True:
                started_at = trio.current_time()
                pulled = await self._pull(step, cursor, record)
                if pulled is None:
                    await self._go_on()
                    await self._put(step, body, record)
                    continue
                record.waited_s += trio.current_time() - started_at
                cursor = pulled.cursor
                self._take(pulled, record)
                train = train_s * len(pulled.samples)
                record.busy_s += train
                await trio.sleep(train)
                if pulled.complete:
                    return record
        raise StepFailedError(f"{len(record.samples)} samples of {step}")

    def _take(self, pulled: PullResponse, record: StepRecord) -> None:
        """Take the samples of one answer."""
        for sample in pulled.samples:
            record.samples.append(sample)
            record.lags.append(self.version - sample.find_oldest_version())

    async def _put(
        self, step: str, body: StepBody, record: StepRecord
    ) -> None:
        """Put a step until an entry takes it."""
        data = msgspec.json.encode(body)
        path = f"/trainers/{self.name}/steps/{step}"
        while True:
            answer = await self._call("PUT", path, data)
            if answer is not None and answer.status in (200, 201):
                return
            if answer is not None and answer.status < 500:
                raise StepFailedError(answer.body.decode())
            record.failures += 1
            await self._go_on()

    async def _pull(
        self, step: str, cursor: str, record: StepRecord
    ) -> PullResponse | None:
        """Pull once; None asks to go on at another entry."""
        path = f"/trainers/{self.name}/steps/{step}/samples"
        query = f"cursor={cursor}&wait_ms={WAIT_MS}"
        answer = await self._call("GET", f"{path}?{query}", b"")
        if answer is not None and answer.status == 200:
            return msgspec.json.decode(answer.body, type=PullResponse)
        record.failures += 1
        return None

    async def _call(
        self, method: str, target: str, body: bytes
    ) -> HttpResponse | None:
        """Call the entry whose turn it is."""
        pool = self._pools[self._turn % len(self._pools)]
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                return await pool.fetch(method, target, body=body)
        except (HttpError, trio.TooSlowError):
            return None

    async def _go_on(self) -> None:
        """Turn to the next entry after a pause."""
        self._turn += 1
        await trio.sleep(PAUSE_S)
