"""Messages of the HTTP API of model engines."""

import msgspec


class CompletionRequest(msgspec.Struct, omit_defaults=True):
    """Request for a completion; `resume_*` continue an earlier one."""

    model: str = ""
    prompt: str = ""
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0
    request_id: str = ""
    resume_text: str = ""
    resume_tokens: int = 0


class CompletionChoice(msgspec.Struct):
    """A generated text or a part of it, with its number of tokens."""

    text: str
    index: int = 0
    tokens: int = 1
    finish_reason: str | None = None


class CompletionResponse(msgspec.Struct):
    """Response to a completion request, or one event of its stream."""

    id: str
    choices: list[CompletionChoice]
    object: str = "text_completion"


class LoadRequest(msgspec.Struct):
    """Request to load a version of a model's weights from a URL."""

    model: str
    version: int
    source: str
    fence: int


class ModelVersion(msgspec.Struct):
    """Loaded version of one model."""

    model: str
    version: int
