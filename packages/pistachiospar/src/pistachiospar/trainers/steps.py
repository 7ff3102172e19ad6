"""A step's state at the entry that owns it."""

from hashlib import sha256

import msgspec
import trio

from . import const
from .cursor import encode_cursor
from .cursor import ReceivedSet
from .decisions import is_fresh
from .models import JobDone
from .models import JobsOrder
from .models import PullResponse
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
    """Step with the samples that are generated and not yet acknowledged.

    `discarded` has the ordinals of those that the trainer acknowledged, whose
    text is no longer in memory. Times are monotonic seconds.
    """

    def __init__(
        self, trainer: str, step: str, body: StepBody, now: float
    ) -> None:
        """Derive the digest and the samples to run from the body."""
        self.trainer = trainer
        self.step = step
        self.body = body
        self.digest = sha256(encode_step(body)).hexdigest()
        self.jobs = list_jobs(body)
        self.samples: dict[int, Sample] = {}
        self.discarded: set[int] = set()
        self.last_used_at = now
        self.pull_count = 0
        self.changed = trio.Event()
        self.scope = trio.CancelScope()
        self.stale_dropped = 0

    def make_order(self, jobs: list[SampleJob]) -> JobsOrder:
        """Return the order to run some of the samples."""
        return JobsOrder(
            trainer=self.trainer,
            step=self.step,
            upstream=self.body.upstream,
            weight_version=self.body.weight_version,
            max_tokens=self.body.max_tokens,
            jobs=jobs,
        )

    def add_sample(self, done: JobDone) -> None:
        """Add a complete sample; later ones of an ordinal are ignored."""
        if (
            done.ordinal < len(self.jobs)
            and done.ordinal not in self.discarded
        ):
            self.samples.setdefault(done.ordinal, done.sample)
            self.notify_pulls()

    def notify_pulls(self) -> None:
        """Wake the waiting pulls."""
        self.changed.set()
        self.changed = trio.Event()

    def discard_received(self, received: ReceivedSet) -> list[SampleJob]:
        """Discard samples that the trainer has; return those to run again.

        An older cursor can lack samples that are already discarded.
        """
        for ordinal in list(self.samples):
            if ordinal in received:
                del self.samples[ordinal]
                self.discarded.add(ordinal)
        missing = [o for o in self.discarded if o not in received]
        self.discarded.difference_update(missing)
        return [self.jobs[ordinal] for ordinal in missing]

    def drop_stale(self, min_version: int) -> list[SampleJob]:
        """Drop samples that are too old; return them to run again."""
        stale = [
            ordinal
            for ordinal, sample in self.samples.items()
            if not is_fresh(sample, min_version)
        ]
        for ordinal in stale:
            del self.samples[ordinal]
        self.stale_dropped += len(stale)
        return [self.jobs[ordinal] for ordinal in stale]

    def collect_batch(
        self, received: ReceivedSet, max_samples: int
    ) -> PullResponse | None:
        """Return the samples to deliver and the cursor after them.

        None while there is nothing to deliver and the step is incomplete.
        """
        batch: list[Sample] = []
        size = 0
        new_received = ReceivedSet(
            received.size, int.from_bytes(received.to_bytes(), "little")
        )
        for ordinal, sample in self.samples.items():
            if ordinal in received:
                continue
            if len(batch) >= max_samples or size > const.MAX_PULL_BYTES:
                break
            batch.append(sample)
            size += len(sample.text)
            new_received.add(ordinal)
        if not batch and not received.is_complete():
            return None
        cursor = encode_cursor(self.digest, new_received)
        return PullResponse(batch, cursor, new_received.is_complete())
