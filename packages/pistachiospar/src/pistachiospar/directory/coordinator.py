"""The configuration, instances and named versions that a gateway knows."""

from collections.abc import Callable
from random import Random

from result import Err
import trio

from . import const
from ..organisations.models import choose_watch_wait_s
from ..organisations.models import ConfigurationAge
from ..organisations.models import KeyRules
from ..ports.kv import KeyValue
from ..ports.kv import KvEvent
from ..routing.instances import ListedInstance
from ..routing.models import RouteTable
from ..telemetry.logs import log_event
from ..telemetry.metrics import Metrics
from .announcements import LeavingAnnouncements
from .mirror import PrefixMirror
from .models import DirectoryKeys
from .software import SoftwareVersions


class Directory:
    """Mirror the configuration and instances from the key-value service.

    `named_versions` has the newest version that trainers named per model,
    `retiring` the revision of the request to retire each instance. Both are
    updated only while `watch_operator_keys` runs. `announcements` has what
    instances said themselves.
    """

    def __init__(
        self,
        kv: KeyValue,
        direct_kv: KeyValue,
        keys: DirectoryKeys,
        metrics: Metrics,
        rng: Random,
        key_rules: KeyRules,
        read_boot_s: Callable[[], float],
    ) -> None:
        """Start with an empty route table of version 0.

        The mirrors that the watch relay keeps up to date call `direct_kv`.
        Where `key_rules` need it, the age of the configuration is proven by
        the clock `read_boot_s`, which counts suspensions.
        """
        self._kv = kv
        self._keys = keys
        self._metrics = metrics
        self._rng = rng
        self.table = RouteTable(0)
        self.instances: dict[str, ListedInstance] = {}
        self.named_versions: dict[str, int] = {}
        self.retiring: dict[str, int] = {}
        self.announcements = LeavingAnnouncements()
        self._software = SoftwareVersions()
        self._grace_ends_at: dict[str, float] = {}
        self._listeners: list[Callable[[], None]] = []
        self.configuration_mirror = PrefixMirror(
            direct_kv,
            keys.key_config,
            self._apply_operator_event,
            rng,
            wait_s=choose_watch_wait_s(key_rules),
            keep_history=True,
            conceal=keys.conceal,
            read_boot_s=(
                read_boot_s if key_rules.revoke_after_s is not None else None
            ),
        )
        self.instance_mirror = PrefixMirror(
            direct_kv,
            keys.prefix_instances,
            self._apply_instance_event,
            rng,
            const.BATCH_DELAY_S,
            keep_history=True,
        )

    async def watch_operator_keys(self) -> None:
        """Follow named versions and retirements.

        Only the holder of a pool runs this, since each change wakes every
        watch on these keys.
        """
        mirror = PrefixMirror(
            self._kv,
            self._keys.prefix_operator,
            self._apply_operator_event,
            self._rng,
            conceal=self._keys.conceal,
        )
        await mirror.run()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener to be called after each change."""
        self._listeners.append(listener)

    def has_configuration(self) -> bool:
        """Return whether a configuration is in force."""
        return self.table.version > 0

    def compute_configuration_age(self, now: float) -> ConfigurationAge:
        """Return how long ago the configuration was the newest one."""
        mirror = self.configuration_mirror
        proven_s = mirror.compute_proven_age_s()
        if mirror.last_success_at is None or mirror.failures:
            return ConfigurationAge(float("inf"), proven_s)
        return ConfigurationAge(now - mirror.last_success_at, proven_s)

    async def wait_for_configuration(self, timeout_s: float) -> bool:
        """Wait for configuration and instances for at most `timeout_s`.

        Return whether a configuration is in force then.
        """
        if self.has_configuration() and self.instance_mirror.synced.is_set():
            return True
        with trio.move_on_after(timeout_s):
            await self.instance_mirror.synced.wait()
            await self.configuration_mirror.synced.wait()
        return self.has_configuration()

    def find_instances(
        self, upstream: str, now: float
    ) -> list[ListedInstance]:
        """Return the instances of an upstream that accept new work."""
        self._remove_expired(now)
        return [
            instance
            for instance in self.instances.values()
            if instance.upstream == upstream and not self.is_leaving(instance)
        ]

    def list_software(self, upstream: str, now: float) -> frozenset[str]:
        """Return the versions that may have begun an upstream's streams."""
        return self._software.list_versions(upstream, now)

    def list_listed_software(self, upstream: str) -> frozenset[str]:
        """Return the versions of an upstream's listed instances."""
        return self._software.list_listed(upstream)

    def is_current(self, now: float) -> bool:
        """Return whether the list of instances is up to date."""
        return not self.instance_mirror.is_unavailable(now)

    def is_leaving(self, instance: ListedInstance) -> bool:
        """Return whether an instance leaves, by the list or its own word."""
        return instance.leaving or self.announcements.is_leaving(instance)

    def record_leaving(self, instance: ListedInstance) -> None:
        """Record that an instance announced in a response that it leaves."""
        if not self.announcements.record(instance):
            return
        self._metrics.count("instances_announced_leaving")
        log_event(
            "instance_announced_leaving",
            instance=instance.name,
            upstream=instance.upstream,
            started_ms=instance.started_ms,
        )
        self._notify_listeners()

    def _apply_operator_event(self, event: KvEvent) -> None:
        """Apply what an operator or trainer wrote; ignores deletions."""
        if event.value is None:
            return
        if event.key == self._keys.key_config:
            self._apply_table(event.value)
        elif event.key.startswith(self._keys.prefix_versions):
            self._apply_named_version(event.value)
        elif event.key.startswith(self._keys.prefix_retire):
            name = event.key.removeprefix(self._keys.prefix_retire)
            self.retiring[name] = event.revision
        self._notify_listeners()

    def _apply_table(self, value: bytes) -> None:
        """Put a configuration in force unless it is unreadable or older."""
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

    def _apply_named_version(self, value: bytes) -> None:
        """Store a named version if it is newer than the known one."""
        named = self._keys.read_named_version(value)
        if isinstance(named, Err):
            log_event("named_version_unreadable", error=named.err_value)
            return
        model, version = named.ok_value
        if version > self.named_versions.get(model, 0):
            self.named_versions[model] = version
            log_event("version_named", model=model, version=version)

    def _apply_instance_event(self, event: KvEvent) -> None:
        """Update or remove an instance; one that is unreadable is dropped."""
        name = event.key.removeprefix(self._keys.prefix_instances)
        if event.value is None:
            self._remove_instance(name, trio.current_time())
            return
        read = self._keys.read_instance(event.key, event.value)
        if isinstance(read, Err):
            self._metrics.count("instances_unreadable")
            log_event("instance_unreadable", key=name, error=read.err_value)
            self._drop_instance(name)
            return
        known = self.instances.get(name)
        if known is None or known.leaving != read.ok_value.leaving:
            log_event(
                "instance_listed",
                instance=name,
                upstream=read.ok_value.upstream,
                software=read.ok_value.software,
                leaving=read.ok_value.leaving,
                revision=event.revision,
            )
        self._grace_ends_at.pop(name, None)
        if known is None or known.origin != read.ok_value.origin:
            if known is not None:
                self._software.remove(known, trio.current_time())
            self._software.add(read.ok_value)
        self.instances[name] = read.ok_value
        self._notify_listeners()

    def _remove_instance(self, name: str, now: float) -> None:
        """Remove an instance, or keep it until its grace time ends.

        The key-value service was back at some time between the last call
        that failed and the first that succeeded again.
        """
        mirror = self.instance_mirror
        if mirror.last_failure_at is not None:
            grace_ends_at = min(
                mirror.regained_at + const.RETURN_GRACE_S,
                mirror.last_failure_at + const.MAX_GRACE_S,
            )
            if now < grace_ends_at:
                self._grace_ends_at[name] = grace_ends_at
                return
        removed = self._drop_instance(name)
        if removed is not None:
            self.announcements.handle_removal(removed)
            log_event("instance_gone", instance=name)
        self._notify_listeners()

    def _remove_expired(self, now: float) -> None:
        """Remove the instances that did not return within their grace."""
        for name in [n for n, at in self._grace_ends_at.items() if now >= at]:
            del self._grace_ends_at[name]
            removed = self._drop_instance(name)
            if removed is not None:
                self.announcements.handle_removal(removed)
            log_event("instance_gone", instance=name, lapsed=True)

    def _drop_instance(self, name: str) -> ListedInstance | None:
        """Drop an instance; return it, None when it is not known."""
        removed = self.instances.pop(name, None)
        if removed is not None:
            self._software.remove(removed, trio.current_time())
        return removed

    def _notify_listeners(self) -> None:
        """Call all listeners."""
        for listener in self._listeners:
            listener()
