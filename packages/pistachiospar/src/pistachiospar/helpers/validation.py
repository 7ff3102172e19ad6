"""Validation of parsed documents against pydantic models."""

from typing import TypeVar

import pydantic
from result import Err
from result import Ok
from result import Result

from .findings import Findings
from .jsonc import Document

Model = TypeVar("Model", bound=pydantic.BaseModel)


class StrictModel(pydantic.BaseModel):
    """A model that rejects unknown keys, so that misspelt ones are found."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def validate_document(
    document: Document, model: type[Model]
) -> Result[Model, Findings]:
    """Validate a document; every error becomes a finding with its line."""
    try:
        return Ok(model.model_validate(document.value))
    except pydantic.ValidationError as error:
        findings = Findings()
        for detail in error.errors():
            path = ".".join(str(part) for part in detail["loc"])
            line, column = document.find_position(path)
            findings.add(document.file, path, line, detail["msg"], column)
        return Err(findings)
