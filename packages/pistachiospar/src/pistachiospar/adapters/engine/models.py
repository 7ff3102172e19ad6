"""Messages of the engines' HTTP interface."""

import msgspec


class CompletionRequest(msgspec.Struct, omit_defaults=True):
    """Ask for a completion; `resume_*` continue an earlier one."""

    model: str = ""
    prompt: str = ""
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0
    request_id: str = ""
    resume_text: str = ""
    resume_tokens: int = 0


class CompletionChoice(msgspec.Struct):
    """Hold a text, or a part of it."""

    text: str
    index: int = 0
    tokens: int = 1
    finish_reason: str | None = None


class CompletionResponse(msgspec.Struct):
    """Answer a completion, or a part of it."""

    id: str
    choices: list[CompletionChoice]
    object: str = "text_completion"


class LoadRequest(msgspec.Struct):
    """Order a version of a model."""

    model: str
    version: int
    source: str
    fence: int


class ModelVersion(msgspec.Struct):
    """Tell the version held of a model."""

    model: str
    version: int
