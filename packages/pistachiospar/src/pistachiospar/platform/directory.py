"""Keys of the platform's store, with the functions that decode them."""

from typing import Final

from . import const
from ..directory.models import DirectoryKeys
from .instances import encode_retired
from .instances import read_instance
from .manifest import conceal_secrets
from .manifest import read_named_version
from .manifest import read_table

PLATFORM_KEYS: Final = DirectoryKeys(
    prefix_operator=const.PREFIX_OPERATOR,
    key_config=const.KEY_CONFIG,
    prefix_versions=const.PREFIX_VERSIONS,
    prefix_retire=const.PREFIX_RETIRE,
    prefix_retire_status=const.PREFIX_RETIRE_STATUS,
    prefix_instances=const.PREFIX_INSTANCES,
    read_table=read_table,
    read_named_version=read_named_version,
    read_instance=read_instance,
    conceal=conceal_secrets,
    encode_retired=encode_retired,
)
