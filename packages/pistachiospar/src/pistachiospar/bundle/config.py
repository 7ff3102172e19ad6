"""Validation of the bundle file that partners write."""

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
from .const import EXPECTED_SHARE_SUM
from .const import PUBLIC_KEY_BYTES
from .const import SHARE_TOLERANCE

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
TimeoutMs = Annotated[int, Field(gt=0, le=3_600_000)]


class PartnerModel(StrictModel):
    """Schema of a partner."""

    name: Name
    public_key: str
    share: Annotated[float, Field(gt=0, le=1)]

    @field_validator("public_key")
    @classmethod
    def check_public_key(cls, value: str) -> str:
        """Reject a key that is not 32 bytes in base64."""
        try:
            data = b64decode(value, validate=True)
        except binascii.Error as error:
            raise ValueError("the key is not valid base64") from error
        if len(data) != PUBLIC_KEY_BYTES:
            raise ValueError(f"the key must have {PUBLIC_KEY_BYTES} bytes")
        return value


class CallerModel(StrictModel):
    """Schema of a caller."""

    name: Name
    partner: Name
    priority: Annotated[int, Field(ge=0, le=9)]


class TrainerModel(CallerModel):
    """Schema of a trainer."""

    upstream: Name
    max_version_lag: Annotated[int, Field(ge=0, le=1000)]


class CallPatternModel(StrictModel):
    """Schema of a pattern that matches calls."""

    method: Annotated[str, Field(pattern=r"^(\*|[A-Z]+)$")]
    path: str


class UpstreamModel(StrictModel):
    """Schema of an upstream."""

    name: Name
    kind: models.UpstreamKind
    default_timeout_ms: TimeoutMs = 10_000
    max_timeout_ms: TimeoutMs = 60_000
    not_repeatable: list[CallPatternModel] = []
    min_serving_share: Annotated[float, Field(ge=0, lt=1)] = 0.5
    checks_fencing: bool = False


class BundleModel(StrictModel):
    """Schema of a bundle file."""

    name: Name
    partners: Annotated[list[PartnerModel], Field(min_length=1)]
    callers: list[CallerModel] = []
    trainers: list[TrainerModel] = []
    upstreams: list[UpstreamModel] = []

    @model_validator(mode="after")
    def check_shares(self) -> Self:
        """Reject shares that don't add up to 1."""
        total = sum(partner.share for partner in self.partners)
        if abs(total - EXPECTED_SHARE_SUM) > SHARE_TOLERANCE:
            raise ValueError(f"the shares add up to {total:g} instead of 1")
        return self


def validate_bundle(document: Document) -> Result[models.Bundle, Findings]:
    """Validate a bundle; all errors are returned together."""
    checked = validate_document(document, BundleModel)
    if isinstance(checked, Err):
        return checked
    model = checked.ok_value
    findings = find_name_errors(document, model)
    if findings:
        return Err(findings)
    return Ok(
        msgspec.convert(model.model_dump(mode="json"), type=models.Bundle)
    )


def find_name_errors(document: Document, model: BundleModel) -> Findings:
    """Find names that are used but not defined, or defined twice."""
    findings = Findings()
    partners = {partner.name for partner in model.partners}
    upstreams = {upstream.name: upstream for upstream in model.upstreams}

    def add(path: str, message: str) -> None:
        line, column = document.find_position(path)
        findings.add(document.file, path, line, message, column)

    for kind in ("partners", "callers", "trainers", "upstreams"):
        seen: set[str] = set()
        for index, item in enumerate(getattr(model, kind)):
            if item.name in seen:
                add(f"{kind}.{index}.name", f"{item.name!r} is defined twice")
            seen.add(item.name)
            partner = getattr(item, "partner", None)
            if partner is not None and partner not in partners:
                path = f"{kind}.{index}.partner"
                add(path, f"no partner is named {partner!r}")
    for index, trainer in enumerate(model.trainers):
        path = f"trainers.{index}.upstream"
        upstream = upstreams.get(trainer.upstream)
        if upstream is None:
            add(path, f"no upstream is named {trainer.upstream!r}")
        elif upstream.kind is not models.UpstreamKind.ENGINE:
            add(path, f"{trainer.upstream!r} is not an engine")
    return findings


def find_bundle_warnings(
    document: Document, bundle: models.Bundle
) -> Findings:
    """Find what is valid, but never has an effect or contradicts itself."""
    findings = Findings()

    def add(path: str, message: str) -> None:
        line, column = document.find_position(path)
        findings.add(document.file, path, line, message, column)

    for index, upstream in enumerate(bundle.upstreams):
        if upstream.default_timeout_ms > upstream.max_timeout_ms:
            path = f"upstreams.{index}.default_timeout_ms"
            add(path, "the default timeout is above the maximum")
        for number, pattern in enumerate(upstream.not_repeatable):
            if pattern in upstream.not_repeatable[:number]:
                path = f"upstreams.{index}.not_repeatable.{number}"
                add(path, "this pattern is listed before")
    using = {caller.partner for caller in bundle.callers}
    using |= {trainer.partner for trainer in bundle.trainers}
    for index, partner in enumerate(bundle.partners):
        if partner.name not in using:
            path = f"partners.{index}.name"
            add(path, "no caller or trainer uses this partner's share")
    return findings
