"""Support the bundle file: validated models of what partners write."""

from base64 import b64decode
import binascii
from typing import Annotated
from typing import Self

import msgspec
from pydantic import Field
from pydantic import field_validator
from pydantic import model_validator
from result import Err
from result import Ok
from result import Result

from ..helpers.findings import Findings
from ..helpers.jsonc import Document
from ..helpers.validation import StrictModel
from ..helpers.validation import validate_document
from . import models
from .const import PUBLIC_KEY_BYTES
from .const import SHARE_SUM
from .const import SHARE_TOLERANCE

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
TimeoutMs = Annotated[int, Field(gt=0, le=3_600_000)]


class PartnerModel(StrictModel):
    """Validate a partner."""

    name: Name
    public_key: str
    share: Annotated[float, Field(gt=0, le=1)]

    @field_validator("public_key")
    @classmethod
    def check_key(cls, value: str) -> str:
        """Refuse a key that is not 32 bytes in base64."""
        try:
            data = b64decode(value, validate=True)
        except binascii.Error as error:
            raise ValueError("not base64") from error
        if len(data) != PUBLIC_KEY_BYTES:
            raise ValueError(f"a key has {PUBLIC_KEY_BYTES} bytes")
        return value


class CallerModel(StrictModel):
    """Validate a caller."""

    name: Name
    partner: Name
    priority: Annotated[int, Field(ge=0, le=9)]


class TrainerModel(CallerModel):
    """Validate a trainer."""

    upstream: Name
    max_version_lag: Annotated[int, Field(ge=0, le=1000)]


class CallPatternModel(StrictModel):
    """Validate a pattern of calls."""

    method: Annotated[str, Field(pattern=r"^(\*|[A-Z]+)$")]
    path: str


class UpstreamModel(StrictModel):
    """Validate an upstream."""

    name: Name
    kind: models.UpstreamKind
    default_timeout_ms: TimeoutMs = 10_000
    max_timeout_ms: TimeoutMs = 60_000
    not_repeatable: list[CallPatternModel] = []
    min_serving_share: Annotated[float, Field(ge=0, lt=1)] = 0.5
    checks_fencing: bool = False


class BundleModel(StrictModel):
    """Validate a bundle."""

    name: Name
    partners: Annotated[list[PartnerModel], Field(min_length=1)]
    callers: list[CallerModel] = []
    trainers: list[TrainerModel] = []
    upstreams: list[UpstreamModel] = []

    @model_validator(mode="after")
    def check_shares(self) -> Self:
        """Refuse shares that don't add up to 1."""
        total = sum(partner.share for partner in self.partners)
        if abs(total - SHARE_SUM) > SHARE_TOLERANCE:
            raise ValueError(f"shares add up to {total:g}, not to 1")
        return self


def check_bundle(document: Document) -> Result[models.Bundle, Findings]:
    """Validate a bundle; all faults are reported together."""
    checked = validate_document(document, BundleModel)
    if isinstance(checked, Err):
        return checked
    model = checked.ok_value
    findings = find_dangling_names(document, model)
    if findings:
        return Err(findings)
    return Ok(
        msgspec.convert(model.model_dump(mode="json"), type=models.Bundle)
    )


def find_dangling_names(document: Document, model: BundleModel) -> Findings:
    """Return names used but not defined, and names defined twice."""
    findings = Findings()
    partners = {partner.name for partner in model.partners}
    upstreams = {upstream.name: upstream for upstream in model.upstreams}

    def add(path: str, message: str) -> None:
        line = document.find_line(path)
        findings.add(document.file, path, line, message)

    for kind in ("partners", "callers", "trainers", "upstreams"):
        seen: set[str] = set()
        for index, item in enumerate(getattr(model, kind)):
            if item.name in seen:
                add(f"{kind}.{index}.name", f"{item.name!r} stands twice")
            seen.add(item.name)
            partner = getattr(item, "partner", None)
            if partner is not None and partner not in partners:
                path = f"{kind}.{index}.partner"
                add(path, f"no partner {partner!r}")
    for index, trainer in enumerate(model.trainers):
        path = f"trainers.{index}.upstream"
        upstream = upstreams.get(trainer.upstream)
        if upstream is None:
            add(path, f"no upstream {trainer.upstream!r}")
        elif upstream.kind is not models.UpstreamKind.ENGINE:
            add(path, f"{trainer.upstream!r} is not an engine")
    return findings
