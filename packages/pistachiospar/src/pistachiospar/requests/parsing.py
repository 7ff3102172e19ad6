"""Parsing of callers' HTTP requests, checked against the bundle."""

import msgspec
from result import Err
from result import Ok
from result import Result

from ..adapters.http.models import HttpRequest
from ..bundle.models import Bundle
from ..bundle.models import Upstream
from ..bundle.models import UpstreamKind
from . import const
from ..const import HEADER_CALLER
from ..const import HEADER_IDEMPOTENCY_KEY
from ..const import HEADER_TIMEOUT_MS
from ..const import MS_PER_S
from ..helpers.problems import Problem
from ..helpers.problems import refuse_input
from ..link.messages import OrderKind
from .models import CallerRequest

PATH_COMPLETIONS = "v1/completions"


class CompletionBody(msgspec.Struct):
    """Fields of a completion's body that routing and cost depend on."""

    prompt: str
    max_tokens: int = const.DEFAULT_MAX_TOKENS
    model: str = ""
    stream: bool = False


def parse_request(
    bundle: Bundle,
    request: HttpRequest,
    upstream_name: str,
    path: str,
    request_id: str,
    now: float,
) -> Result[CallerRequest, Problem]:
    """Parse a request and check it against the bundle in force.

    `now` is monotonic seconds; the deadline counts from it.
    """
    upstream = bundle.find_upstream(upstream_name)
    if upstream is None:
        detail = f"no upstream {upstream_name!r}"
        return Err(refuse_input("unknown-upstream", detail, 404))
    name = request.headers.get(HEADER_CALLER, "")
    caller = bundle.find_caller(name)
    if caller is None:
        detail = f"no caller {name!r}; set the header Pistachiospar-Caller"
        return Err(refuse_input("unknown-caller", detail, 403))
    key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
    if len(key) > const.MAX_KEY_BYTES:
        detail = f"over {const.MAX_KEY_BYTES} bytes"
        return Err(refuse_input("bad-idempotency-key", detail))
    timeout_ms = parse_timeout(request, upstream)
    if isinstance(timeout_ms, Err):
        return timeout_ms
    completion = parse_completion(request, upstream, path)
    if isinstance(completion, Err):
        return completion
    body = completion.ok_value
    repeatable = not key and upstream.is_repeatable(request.method, path)
    target = f"{path}?{request.query}" if request.query else path
    return Ok(
        CallerRequest(
            request_id=request_id,
            caller=caller,
            upstream=upstream,
            kind=OrderKind.CALL,
            method=request.method,
            path=target,
            content_type=request.headers.get("content-type", ""),
            body=request.body,
            deadline=now + timeout_ms.ok_value / MS_PER_S,
            tokens=estimate_tokens(body),
            repeatable=repeatable,
            key=key or ("" if repeatable else f"auto:{request_id}"),
            pinned=bool(key),
            prefix=body.prompt[: const.PREFIX_CHARACTERS] if body else "",
        )
    )


def parse_timeout(
    request: HttpRequest, upstream: Upstream
) -> Result[int, Problem]:
    """Return the timeout in milliseconds, at most the upstream's maximum."""
    text = request.headers.get(HEADER_TIMEOUT_MS)
    if text is None:
        return Ok(upstream.default_timeout_ms)
    if not text.isascii() or not text.isdigit() or int(text[:12]) == 0:
        detail = f"{text[:40]!r} is not a positive integer"
        return Err(refuse_input("bad-timeout", detail))
    return Ok(min(int(text[:12]), upstream.max_timeout_ms))


def parse_completion(
    request: HttpRequest, upstream: Upstream, path: str
) -> Result[CompletionBody | None, Problem]:
    """Return the body of a completion; None for any other call."""
    is_engine = upstream.kind is UpstreamKind.ENGINE
    if not is_engine or path != PATH_COMPLETIONS:
        return Ok(None)
    if request.method != "POST":
        detail = "completions must be requested with POST"
        return Err(refuse_input("method-not-allowed", detail, 405))
    try:
        body = msgspec.json.decode(request.body, type=CompletionBody)
    except msgspec.MsgspecError as error:
        return Err(refuse_input("bad-json", str(error)))
    if body.max_tokens < 1:
        return Err(refuse_input("bad-json", "max_tokens is not positive"))
    return Ok(body)


def estimate_tokens(body: CompletionBody | None) -> int:
    """Return the expected cost of a call in tokens, prompt included."""
    if body is None:
        return const.PLAIN_CALL_TOKENS
    return body.max_tokens + len(body.prompt) // const.CHARACTERS_PER_TOKEN
