"""Support what a gateway knows: configuration, instances, named versions."""

from collections.abc import Callable
from random import Random

from result import Err
import trio

from . import const
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..routing.instances import ListedInstance
from ..routing.models import RouteTable
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .mirror import PrefixMirror
from .models import DirectoryKeys


class Directory:
    """Hold the configuration in force, the instances, named versions."""

    def __init__(
        self, kv: KeyValue, keys: DirectoryKeys, metrics: Metrics, rng: Random
    ) -> None:
        """Begin with nothing known."""
        self._kv = kv
        self._keys = keys
        self._metrics = metrics
        self._rng = rng
        self.table = RouteTable(0)
        self.instances: dict[str, ListedInstance] = {}
        self.named_versions: dict[str, int] = {}
        self.retiring: dict[str, int] = {}
        self._lapsed: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        self.configuration = PrefixMirror(
            kv, keys.key_config, self._take_operator, rng
        )
        self.listing = PrefixMirror(
            kv,
            keys.prefix_instances,
            self._take_instance,
            rng,
            const.GATHER_S,
        )

    async def run(self) -> None:
        """Follow the key-value service; one task a prefix."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.listing.run)

    async def follow_operator(self) -> None:
        """Follow named versions and retirements, as a pool's holder does.

        The others leave them alone: each change wakes every watch on it.
        """
        mirror = PrefixMirror(
            self._kv,
            self._keys.prefix_operator,
            self._take_operator,
            self._rng,
        )
        await mirror.run()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change."""
        self._listeners.append(listener)

    def is_known(self) -> bool:
        """Return whether a configuration is in force."""
        return self.table.version > 0

    async def wait_until_known(self, most_s: float) -> bool:
        """Wait for a configuration and the instances; tell if they came."""
        if self.is_known() and self.listing.synced.is_set():
            return True
        with trio.move_on_after(most_s):
            await self.listing.synced.wait()
            await self.configuration.synced.wait()
        return self.is_known()

    def find_instances(
        self, upstream: str, now: float
    ) -> list[ListedInstance]:
        """Return the instances of an upstream that take new work."""
        self._drop_lapsed(now)
        return [
            instance
            for instance in self.instances.values()
            if instance.upstream == upstream and not instance.leaving
        ]

    def _take_operator(self, event: KvEvent) -> None:
        """Take over what the operator or a trainer wrote."""
        if event.value is None:
            return
        if event.key == self._keys.key_config:
            self._take_table(event.value)
        elif event.key.startswith(self._keys.prefix_versions):
            self._take_version(event.value)
        elif event.key.startswith(self._keys.prefix_retire):
            name = event.key.removeprefix(self._keys.prefix_retire)
            self.retiring[name] = event.revision
        self._tell()

    def _take_table(self, value: bytes) -> None:
        """Take over a configuration; an older one never comes back."""
        table = self._keys.read_table(value)
        if isinstance(table, Err):
            self._metrics.count("configurations_unreadable")
            log_event("configuration_unreadable", error=table.err_value)
            return
        if table.ok_value.version > self.table.version:
            log_event(
                "configuration_in_force",
                version=table.ok_value.version,
                before=self.table.version,
            )
            self.table = table.ok_value

    def _take_version(self, value: bytes) -> None:
        """Take over a named version."""
        named = self._keys.read_named_version(value)
        if isinstance(named, Err):
            log_event("named_version_unreadable", error=named.err_value)
            return
        model, version = named.ok_value
        if version > self.named_versions.get(model, 0):
            self.named_versions[model] = version
            log_event("version_named", model=model, version=version)

    def _take_instance(self, event: KvEvent) -> None:
        """Take over an instance's entry."""
        name = event.key.removeprefix(self._keys.prefix_instances)
        if event.value is None:
            self._remove_instance(name, trio.current_time())
            return
        read = self._keys.read_instance(event.key, event.value)
        if isinstance(read, Err):
            self._metrics.count("instances_unreadable")
            log_event("instance_unreadable", key=name, error=read.err_value)
            self.instances.pop(name, None)
            return
        known = self.instances.get(name)
        if known is None or known.leaving != read.ok_value.leaving:
            log_event(
                "instance_listed",
                instance=name,
                upstream=read.ok_value.upstream,
                leaving=read.ok_value.leaving,
                revision=event.revision,
            )
        self._lapsed.pop(name, None)
        self.instances[name] = read.ok_value
        self._tell()

    def _remove_instance(self, name: str, now: float) -> None:
        """Drop an instance; after an outage it may come back at once."""
        troubled_at = self.listing.troubled_at
        if troubled_at is not None and now - troubled_at < (
            const.RETURN_GRACE_S
        ):
            self._lapsed[name] = now + const.RETURN_GRACE_S
            return
        if self.instances.pop(name, None) is not None:
            log_event("instance_gone", instance=name)
        self._tell()

    def _drop_lapsed(self, now: float) -> None:
        """Drop the instances that did not come back in time."""
        for name in [n for n, at in self._lapsed.items() if now >= at]:
            del self._lapsed[name]
            self.instances.pop(name, None)
            log_event("instance_gone", instance=name, lapsed=True)

    def _tell(self) -> None:
        """Tell the readers that something changed."""
        for listener in self._listeners:
            listener()
