"""Support one step at the entry that owns it."""

from hashlib import sha256

import msgspec
import trio

from . import const
from .cursor import encode_cursor
from .cursor import TakenSet
from .decisions import is_fresh
from .models import JobDone
from .models import JobsOrder
from .models import PullAnswer
from .models import Sample
from .models import SampleJob
from .models import StepBody


def encode_step(body: StepBody) -> bytes:
    """Return the canonical encoding of a step's definition."""
    return msgspec.json.encode(body, order="sorted")


def list_jobs(body: StepBody) -> list[SampleJob]:
    """Return a step's samples; the ordinal counts them from 0."""
    jobs: list[SampleJob] = []
    for group in body.groups:
        for index in range(group.samples):
            jobs.append(SampleJob(len(jobs), group.group, index, group.prompt))
    return jobs


class OwnedStep:
    """Hold a step and what was generated of it."""

    def __init__(
        self, trainer: str, step: str, body: StepBody, now: float
    ) -> None:
        """Begin with no sample."""
        self.trainer = trainer
        self.step = step
        self.body = body
        self.digest = sha256(encode_step(body)).hexdigest()
        self.jobs = list_jobs(body)
        self.samples: dict[int, Sample] = {}
        self.freed: set[int] = set()
        self.used_at = now
        self.pulls = 0
        self.changed = trio.Event()
        self.scope = trio.CancelScope()
        self.stale_dropped = 0

    def make_order(self, jobs: list[SampleJob]) -> JobsOrder:
        """Make the order to run some of the samples."""
        return JobsOrder(
            trainer=self.trainer,
            step=self.step,
            upstream=self.body.upstream,
            weight_version=self.body.weight_version,
            max_tokens=self.body.max_tokens,
            jobs=jobs,
        )

    def take_sample(self, done: JobDone) -> None:
        """Take a whole sample; the first of an ordinal counts."""
        if done.ordinal < len(self.jobs) and done.ordinal not in self.freed:
            self.samples.setdefault(done.ordinal, done.sample)
            self.notify()

    def notify(self) -> None:
        """Wake the pulls that wait."""
        self.changed.set()
        self.changed = trio.Event()

    def free_taken(self, taken: TakenSet) -> list[SampleJob]:
        """Drop what the trainer holds; return what must be run again."""
        for ordinal in list(self.samples):
            if ordinal in taken:
                del self.samples[ordinal]
                self.freed.add(ordinal)
        missing = [o for o in self.freed if o not in taken]
        self.freed.difference_update(missing)
        return [self.jobs[ordinal] for ordinal in missing]

    def drop_stale(self, floor: int) -> list[SampleJob]:
        """Drop samples that are too old; return them to be run again."""
        stale = [
            ordinal
            for ordinal, sample in self.samples.items()
            if not is_fresh(sample, floor)
        ]
        for ordinal in stale:
            del self.samples[ordinal]
        self.stale_dropped += len(stale)
        return [self.jobs[ordinal] for ordinal in stale]

    def collect(self, taken: TakenSet, most: int) -> PullAnswer | None:
        """Return the samples to deliver and the cursor after them.

        None while there is nothing to deliver and the step is not whole.
        """
        batch: list[Sample] = []
        size = 0
        after = TakenSet(
            taken.size, int.from_bytes(taken.to_bytes(), "little")
        )
        for ordinal, sample in self.samples.items():
            if ordinal in taken:
                continue
            if len(batch) >= most or size > const.MAX_PULL_BYTES:
                break
            batch.append(sample)
            size += len(sample.text)
            after.take(ordinal)
        if not batch and not taken.is_complete():
            return None
        cursor = encode_cursor(self.digest, after)
        return PullAnswer(batch, cursor, after.is_complete())
