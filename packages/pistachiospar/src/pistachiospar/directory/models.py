"""Data classes of the directory."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from ..routing.instances import ListedInstance
from ..routing.models import RouteTable


@dataclass(frozen=True, slots=True)
class DirectoryKeys:
    """The keys that the platform, operator and trainers write.

    The `read_` functions decode a key's value; an Err says why they can't.
    `conceal` returns a key's value without secrets.
    """

    prefix_operator: str
    key_config: str
    prefix_versions: str
    prefix_retire: str
    prefix_retire_status: str
    prefix_instances: str
    read_table: Callable[[bytes], Result[RouteTable, str]]
    read_named_version: Callable[[bytes], Result[tuple[str, int], str]]
    read_instance: Callable[[str, bytes], Result[ListedInstance, str]]
    conceal: Callable[[str, bytes], bytes]
    encode_retired: Callable[[], bytes]
