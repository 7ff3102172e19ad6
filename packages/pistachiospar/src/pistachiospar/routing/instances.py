"""Upstream instances, as the platform lists them."""

from dataclasses import dataclass
from dataclasses import field

from ..adapters.http.address import Address


@dataclass(frozen=True, slots=True)
class InstanceLifetime:
    """What tells an instance from others before and after it."""

    name: str
    started_ms: int
    address: Address


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An upstream instance.

    `slots` is the number of calls that it runs at a time. One that is
    `leaving` takes no new work. `started_ms` distinguishes its incarnations;
    `versions` has the weight version that it holds of each model, `software`
    the version of its software.
    """

    name: str
    upstream: str
    address: Address
    zone: str
    slots: int
    leaving: bool
    started_ms: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    software: str = ""

    @property
    def lifetime(self) -> InstanceLifetime:
        """Return what tells this lifetime from others of the same name."""
        return InstanceLifetime(self.name, self.started_ms, self.address)

    @property
    def origin(self) -> "SoftwareOrigin":
        """Return what a text that begins here has to go on at."""
        return SoftwareOrigin(self.upstream, self.software)


@dataclass(frozen=True, slots=True)
class SoftwareOrigin:
    """The upstream and the version of its software that began a text.

    What another version generates doesn't fit to the text.
    """

    upstream: str
    software: str
