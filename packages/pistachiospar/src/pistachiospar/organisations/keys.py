"""Keys that callers send, and their digests."""

from binascii import b2a_base64
from hashlib import sha256
import re
from typing import Final

from result import Err
from result import Ok
from result import Result

from ..adapters.http.models import Headers
from . import const
from .models import KeyFault
from .models import KeyRefusal

_KEY_PATTERN: Final = re.compile(r"[\x21-\x7e\x80-\xff]+")


def compute_digest(key: bytes) -> str:
    """Return the digest, in base64, that stands for a key everywhere."""
    return b2a_base64(sha256(key).digest(), newline=False).decode()


def read_key(raw_headers: Headers) -> Result[bytes, KeyRefusal]:
    """Return the bearer key of a call."""
    values = [v for n, v in raw_headers if n.lower() == "authorization"]
    if not values:
        return _refuse(KeyFault.MISSING, "send Authorization: Bearer KEY")
    if len(values) > 1:
        return _refuse(KeyFault.DUPLICATED, "more than one Authorization")
    scheme, _, key = values[0].strip(" \t").partition(" ")
    key = key.lstrip(" ")
    if scheme.lower() != const.SCHEME:
        return _refuse(KeyFault.UNREADABLE, "Authorization is not Bearer")
    if len(key) > const.MAX_KEY_CHARACTERS:
        limit = f"over {const.MAX_KEY_CHARACTERS} characters"
        return _refuse(KeyFault.OVERSIZED, limit)
    if not _KEY_PATTERN.fullmatch(key):
        return _refuse(KeyFault.UNREADABLE, "the key is empty or has spaces")
    # The HTTP server decodes headers as Latin-1, whatever their encoding.
    return Ok(key.encode("latin-1"))


def _refuse(fault: KeyFault, detail: str) -> Err[KeyRefusal]:
    """Return a refusal as an Err."""
    return Err(KeyRefusal(fault, detail))
