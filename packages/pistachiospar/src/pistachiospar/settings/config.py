"""Support settings files: validated models of entry and sidecar."""

from ipaddress import ip_address
from typing import Annotated
from typing import Literal

from pydantic import AfterValidator
from pydantic import Field
from result import Result

from ..adapters.http.client import Address
from ..adapters.http.client import parse_address
from ..bundle.config import Name
from . import const
from ..helpers.findings import Findings
from ..helpers.jsonc import read_document
from ..helpers.validation import StrictModel
from ..helpers.validation import validate_document
from . import models


def check_address(text: str) -> str:
    """Refuse what is not an IP number and a port."""
    try:
        address = parse_address(text)
        ip_address(address.host)
    except ValueError as error:
        raise ValueError("not IP:port") from error
    if not 0 < address.port <= const.MAX_PORT:
        raise ValueError("port out of range")
    return text


AddressText = Annotated[str, AfterValidator(check_address)]
DrainSeconds = Annotated[float, Field(gt=0, le=const.DRAIN_LIMIT_S)]


class ProcessModel(StrictModel):
    """Validate what entry and sidecar have in common."""

    name: Name
    zone: Name
    admin: AddressText
    log: str = const.STDOUT
    data_folder: str = const.EMPTY_FOLDER
    drain_s: DrainSeconds = const.DEFAULT_DRAIN_S
    first_partners: Annotated[dict[Name, str], Field(min_length=1)]


class EntryModel(ProcessModel):
    """Validate the settings of an entry."""

    region: Name
    listen: AddressText
    peer: AddressText
    key_value: AddressText
    instance_list: AddressText


class SidecarModel(ProcessModel):
    """Validate the settings of a sidecar."""

    upstream: Name
    kind: Literal["engine", "plain"]
    upstream_address: AddressText
    data: AddressText
    control: AddressText
    slots: Annotated[int, Field(ge=1, le=const.SLOT_LIMIT)] = (
        const.DEFAULT_SLOTS
    )
    queue_limit: Annotated[int, Field(ge=1, le=const.QUEUE_HARD_LIMIT)] = (
        const.DEFAULT_QUEUE_LIMIT
    )


def read_entry(file: str) -> Result[models.EntrySettings, Findings]:
    """Read an entry's settings; all faults are reported together."""
    document = read_document(file)
    model = document.and_then(
        lambda found: validate_document(found, EntryModel)
    )
    return model.map(_make_entry)


def read_sidecar(file: str) -> Result[models.SidecarSettings, Findings]:
    """Read a sidecar's settings; all faults are reported together."""
    document = read_document(file)
    model = document.and_then(
        lambda found: validate_document(found, SidecarModel)
    )
    return model.map(_make_sidecar)


def _make_process(model: ProcessModel) -> models.ProcessSettings:
    """Make the common part."""
    return models.ProcessSettings(
        name=model.name,
        zone=model.zone,
        admin=_parse(model.admin),
        log=model.log,
        data_folder=model.data_folder,
        drain_s=model.drain_s,
        first_partners=dict(model.first_partners),
    )


def _make_entry(model: EntryModel) -> models.EntrySettings:
    """Make the data class of an entry."""
    return models.EntrySettings(
        process=_make_process(model),
        region=model.region,
        listen=_parse(model.listen),
        peer=_parse(model.peer),
        key_value=_parse(model.key_value),
        instance_list=_parse(model.instance_list),
    )


def _make_sidecar(model: SidecarModel) -> models.SidecarSettings:
    """Make the data class of a sidecar."""
    return models.SidecarSettings(
        process=_make_process(model),
        upstream=model.upstream,
        is_engine=model.kind == "engine",
        upstream_address=_parse(model.upstream_address),
        data=_parse(model.data),
        control=_parse(model.control),
        slots=model.slots,
        queue_limit=model.queue_limit,
    )


def _parse(text: str) -> Address:
    """Parse an address that was validated."""
    return parse_address(text)
