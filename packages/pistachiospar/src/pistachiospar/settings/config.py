"""Reading and validation of the settings files of entry and sidecar."""

from ipaddress import ip_address
from typing import Annotated
from typing import Literal

from pydantic import AfterValidator
from pydantic import Field
from result import Result

from ..adapters.http.address import Address
from ..adapters.http.address import parse_address
from ..bundle.config import Name
from . import const
from ..helpers.findings import Findings
from ..helpers.jsonc import read_document
from ..helpers.validation import StrictModel
from ..helpers.validation import validate_document
from . import models


def validate_address(text: str) -> str:
    """Return the text if it is an IP address and a port.

    Raises ValueError, which pydantic turns into a finding.
    """
    try:
        address = parse_address(text)
        ip_address(address.host)
    except ValueError as error:
        raise ValueError("address must be IP:port") from error
    if not 0 < address.port <= const.MAX_PORT:
        raise ValueError("port is out of range")
    return text


AddressText = Annotated[str, AfterValidator(validate_address)]
DrainSeconds = Annotated[float, Field(gt=0, le=const.MAX_DRAIN_S)]


class ProcessModel(StrictModel):
    """Settings that entry and sidecar have in common."""

    name: Name
    zone: Name
    admin: AddressText
    log: str = const.STDOUT
    data_folder: str = const.DEFAULT_DATA_FOLDER
    drain_s: DrainSeconds = const.DEFAULT_DRAIN_S
    first_partners: Annotated[dict[Name, str], Field(min_length=1)]


class EntryModel(ProcessModel):
    """Settings of an entry, as the file has them."""

    region: Name
    listen: AddressText
    peer: AddressText
    key_value: AddressText
    instance_list: AddressText


class SidecarModel(ProcessModel):
    """Settings of a sidecar, as the file has them."""

    upstream: Name
    kind: Literal["engine", "plain"]
    upstream_address: AddressText
    data: AddressText
    control: AddressText
    slots: Annotated[int, Field(ge=1, le=const.MAX_SLOTS)] = (
        const.DEFAULT_SLOTS
    )
    queue_limit: Annotated[int, Field(ge=1, le=const.MAX_QUEUE_LIMIT)] = (
        const.DEFAULT_QUEUE_LIMIT
    )


def read_entry(file: str) -> Result[models.EntrySettings, Findings]:
    """Read an entry's settings; Findings list all errors."""
    document = read_document(file)
    model = document.and_then(
        lambda found: validate_document(found, EntryModel)
    )
    return model.map(_convert_entry)


def read_sidecar(file: str) -> Result[models.SidecarSettings, Findings]:
    """Read a sidecar's settings; Findings list all errors."""
    document = read_document(file)
    model = document.and_then(
        lambda found: validate_document(found, SidecarModel)
    )
    return model.map(_convert_sidecar)


def _convert_process(model: ProcessModel) -> models.ProcessSettings:
    """Convert the settings that entry and sidecar have in common."""
    return models.ProcessSettings(
        name=model.name,
        zone=model.zone,
        admin=_parse_validated(model.admin),
        log=model.log,
        data_folder=model.data_folder,
        drain_s=model.drain_s,
        first_partners=dict(model.first_partners),
    )


def _convert_entry(model: EntryModel) -> models.EntrySettings:
    """Convert an entry's settings."""
    return models.EntrySettings(
        process=_convert_process(model),
        region=model.region,
        listen=_parse_validated(model.listen),
        peer=_parse_validated(model.peer),
        key_value=_parse_validated(model.key_value),
        instance_list=_parse_validated(model.instance_list),
    )


def _convert_sidecar(model: SidecarModel) -> models.SidecarSettings:
    """Convert a sidecar's settings."""
    return models.SidecarSettings(
        process=_convert_process(model),
        upstream=model.upstream,
        is_engine=model.kind == "engine",
        upstream_address=_parse_validated(model.upstream_address),
        data=_parse_validated(model.data),
        control=_parse_validated(model.control),
        slots=model.slots,
        queue_limit=model.queue_limit,
    )


def _parse_validated(text: str) -> Address:
    """Parse an address that the model has validated."""
    return parse_address(text)
