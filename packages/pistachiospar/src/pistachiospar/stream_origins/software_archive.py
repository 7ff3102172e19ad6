"""Reads and writes of the stored records of software versions."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import msgspec
from result import Err
import trio

from . import const
from ..directory.mirror import PrefixMirror
from ..helpers.rendezvous import compute_score
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .software_record import add_versions
from .software_record import is_complete
from .software_record import remove_gone
from .software_record import SoftwareRecord

ListVersions = Callable[[str], Collection[str]]


class SoftwareArchive:
    """The software versions of upstreams, as recorded for all gateways."""

    def __init__(
        self,
        own_name: str,
        kv: KeyValue,
        mirror: PrefixMirror,
        list_members: Callable[[], Collection[str]],
        list_serving: ListVersions,
        is_list_current: Callable[[float], bool],
        is_first_start: bool,
        read_wall_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Initialize; `mirror` brings the records to `apply_event`.

        `list_members` returns the names of all gateways, `list_serving` the
        versions of an upstream's listed instances, and `is_list_current`
        whether that list is up to date.
        """
        self._own_name = own_name
        self._kv = kv
        self._mirror = mirror
        self._list_members = list_members
        self._list_serving = list_serving
        self._is_list_current = is_list_current
        self._is_first_start = is_first_start
        self._read_wall_s = read_wall_s
        self._metrics = metrics
        self._records: dict[str, SoftwareRecord] = {}
        self._revisions: dict[str, int] = {}
        self._writing = trio.Lock()

    async def run(self) -> None:
        """Keep the records tidy until cancelled."""
        while True:
            await trio.sleep(const.RECORD_CHECK_INTERVAL_S)
            if not self._is_list_current(trio.current_time()):
                continue
            for upstream in list(self._records):
                if self._is_in_charge(upstream):
                    await self._remove_gone(upstream)

    def apply_event(self, event: KvEvent) -> None:
        """Apply a change of a record."""
        upstream = event.key.removeprefix(const.PREFIX_SOFTWARE)
        if event.revision < self._revisions.get(upstream, 0):
            return
        if event.value is None:
            self._records.pop(upstream, None)
            self._revisions.pop(upstream, None)
            return
        try:
            record = msgspec.json.decode(event.value, type=SoftwareRecord)
        except msgspec.MsgspecError as error:
            log_event(
                "software_record_unreadable", key=event.key, error=str(error)
            )
            return
        self._records[upstream] = record
        self._revisions[upstream] = event.revision

    def is_synced(self) -> bool:
        """Return whether all records were read since the start."""
        return self._mirror.synced.is_set()

    def is_complete(self, upstreams: Iterable[str]) -> bool:
        """Return whether the records name all versions of these upstreams."""
        now_s = self._read_wall_s()
        return self.is_synced() and all(
            is_complete(self._records.get(upstream), now_s)
            for upstream in upstreams
        )

    def list_versions(self, upstream: str) -> Collection[str]:
        """Return the recorded versions that may have begun streams."""
        record = self._records.get(upstream)
        return () if record is None else record.gone_at_s.keys()

    async def confirm(self, upstreams: Iterable[str]) -> bool:
        """Read the stored records; return whether that worked in time.

        No stream can have begun at a version that they lack.
        """
        with trio.move_on_after(const.CONFIRM_TIMEOUT_S):
            for upstream in upstreams:
                key = const.PREFIX_SOFTWARE + upstream
                found = await self._kv.get_item(key)
                if isinstance(found, Err):
                    return False
                item = found.ok_value
                if item is not None:
                    self.apply_event(KvEvent(key, item.value, item.revision))
            return True
        return False

    async def record_version(self, upstream: str, version: str) -> bool:
        """Record that a version serves; return whether it is recorded.

        A version that isn't recorded must not begin a stream: nobody would
        know of it after a restart of all gateways.
        """
        with trio.move_on_after(const.RECORD_WAIT_S):
            await self._mirror.synced.wait()
            while not self._is_recorded(upstream, version):
                await self._write_serving(upstream, version)
            return True
        log_event("software_not_recorded", upstream=upstream, software=version)
        self._metrics.count("software_not_recorded")
        return False

    def _is_recorded(self, upstream: str, version: str) -> bool:
        """Return whether a version is recorded as serving."""
        record = self._records.get(upstream)
        return record is not None and record.gone_at_s.get(version) == 0.0

    async def _write_serving(self, upstream: str, version: str) -> None:
        """Write a record with all versions that serve now."""
        async with self._writing:
            if self._is_recorded(upstream, version):
                return
            serving = {*self._list_serving(upstream), version}
            record = add_versions(
                self._records.get(upstream),
                serving,
                self._is_first_start,
                self._read_wall_s(),
            )
            if await self._write(upstream, record):
                log_event(
                    "software_recorded",
                    upstream=upstream,
                    versions=sorted(record.gone_at_s),
                    known_since_s=record.known_since_s,
                )
            else:
                await trio.sleep(const.RECORD_RETRY_DELAY_S)

    async def _remove_gone(self, upstream: str) -> None:
        """Mark the versions that have left, and drop those left for long."""
        record = self._records[upstream]
        listed = self._list_serving(upstream)
        tidy = remove_gone(record, listed, self._read_wall_s())
        if tidy != record:
            async with self._writing:
                await self._write(upstream, tidy)

    async def _write(self, upstream: str, record: SoftwareRecord) -> bool:
        """Replace the known record; reads the stored one if it differs."""
        key = const.PREFIX_SOFTWARE + upstream
        value = msgspec.json.encode(record)
        revision = self._revisions.get(upstream, 0)
        written = await self._kv.compare_and_swap(key, value, revision)
        if isinstance(written, Err):
            return False
        if written.ok_value.won:
            self.apply_event(KvEvent(key, value, written.ok_value.revision))
            return True
        found = await self._kv.get_item(key)
        if isinstance(found, Err) or found.ok_value is None:
            return False
        item = found.ok_value
        self.apply_event(KvEvent(key, item.value, item.revision))
        return False

    def _is_in_charge(self, upstream: str) -> bool:
        """Return whether this gateway keeps the record of an upstream."""
        names = {*self._list_members(), self._own_name}
        first = max(names, key=lambda name: compute_score(name, upstream))
        return first == self._own_name
