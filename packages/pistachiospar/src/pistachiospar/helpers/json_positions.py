"""Positions of the values in JSON text, and its syntax errors.

The scan goes on after an error, so that one run finds the errors of all
lines. It accepts what RFC 8259 allows; a finding without position in the
text is placed at the nearest value around it.
"""

from bisect import bisect_right
from dataclasses import dataclass
from dataclasses import field
import json
from math import isfinite
import re
from typing import Final

Path = tuple[str | int, ...]

TOKEN_PATTERN: Final = re.compile(
    r'"(?:[^"\\\x00-\x1f]|\\.)*"|[{}\[\]:,]|[^\s{}\[\]:,"]+|"[^\n]*'
)
SCALAR_PATTERN: Final = re.compile(
    r"true|false|null|-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?"
)
STRING_PATTERN: Final = re.compile(
    r'"(?:[^"\\\x00-\x1f]|\\["\\/bfnrt]|'
    # A surrogate stands only in a pair.
    r"\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}|"
    r'\\u(?![dD][89a-fA-F])[0-9a-fA-F]{4})*"'
)
# Lists nested deeper are no configuration, and exhaust recursive decoders.
MAX_DEPTH: Final = 64
MAX_INTEGER_DIGITS: Final = 4300
# After this many syntax errors the text is hardly JSON.
MAX_SYNTAX_ERRORS: Final = 50


@dataclass(frozen=True, slots=True)
class TextError:
    """An error in a text; `offset` counts characters from 0."""

    offset: int
    message: str


@dataclass(slots=True)
class JsonScan:
    """What a scan found: offsets by path, and errors in their order.

    `duplicates` has the path and the offset of each repeated field.
    """

    offsets: dict[Path, int] = field(default_factory=dict)
    errors: list[TextError] = field(default_factory=list)
    duplicates: list[tuple[Path, int]] = field(default_factory=list)

    def find_offset(self, path: Path) -> int:
        """Return the offset of a path or its nearest known parent, or 0."""
        while path and path not in self.offsets:
            path = path[:-1]
        return self.offsets.get(path, 0)


class LineIndex:
    """Convert offsets of a text to lines and columns."""

    def __init__(self, text: str) -> None:
        """Index the line breaks of a text."""
        self._starts = [0]
        self._starts += [m.end() for m in re.finditer("\n", text)]

    def find_position(self, offset: int) -> tuple[int, int]:
        """Return line and column, both from 1, the column in characters."""
        line = bisect_right(self._starts, offset)
        return line, offset - self._starts[line - 1] + 1


@dataclass(slots=True)
class _Container:
    """An object or array that the scan has open.

    `expected` says what may come next: a field's name, a colon, a value,
    or a comma.
    """

    path: Path
    is_array: bool
    expected: str
    key: str = ""
    count: int = 0
    comma_offset: int | None = None


class JsonScanner:
    """One scan of one text."""

    def __init__(self, text: str) -> None:
        """Start at the beginning of a text.

        After an error that leaves no way to go on, the scan is lost.
        """
        self._text = text
        self._scan = JsonScan()
        self._open: list[_Container] = []
        self._is_lost = False

    def run(self) -> JsonScan:
        """Scan the whole text."""
        scan = self._scan
        for match in TOKEN_PATTERN.finditer(self._text):
            self._take_token(match.group(), match.start())
            if self._is_lost or len(scan.errors) >= MAX_SYNTAX_ERRORS:
                return scan
        for container in self._open:
            closing = "]" if container.is_array else "}"
            offset = scan.offsets[container.path]
            self._add_error(offset, f"no {closing!r} ends what begins here")
        if () not in scan.offsets:
            self._add_error(len(self._text), "the file has no value")
        return scan

    def _take_token(self, token: str, offset: int) -> None:
        """Handle one token where the scan has got to."""
        container = self._open[-1] if self._open else None
        if token in "}]":
            self._close(token, offset)
        elif token in ",:":
            self._take_separator(token, offset, container)
        elif container is None:
            if () in self._scan.offsets:
                self._add_error(offset, "more text after the end of the value")
                self._is_lost = True
                return
            self._take_value(token, offset, ())
        elif container.expected == "name":
            self._take_name(token, offset, container)
        else:
            self._take_element(token, offset, container)

    def _take_separator(
        self, token: str, offset: int, container: _Container | None
    ) -> None:
        """Handle a comma or a colon."""
        wanted = "comma" if token == "," else "colon"
        if container is None or container.expected != wanted:
            self._add_error(offset, f"unexpected {token!r}")
            if container is None or token == ":":
                return
        if token == ":":
            container.expected = "value"
            return
        container.comma_offset = offset
        container.expected = "value" if container.is_array else "name"

    def _take_name(
        self, token: str, offset: int, container: _Container
    ) -> None:
        """Handle the name of a field."""
        if token in "{[":
            self._add_error(offset, "expected the name of a field")
            self._take_value(token, offset, (*container.path, ""))
            return
        if not token.startswith('"'):
            self._add_error(offset, "the name of a field needs quotes")
        self._check_scalar(token, offset, is_name=True)
        container.key = token.strip('"')
        container.expected = "colon"
        container.comma_offset = None
        path = (*container.path, container.key)
        if path in self._scan.offsets:
            self._scan.duplicates.append((path, offset))
        self._scan.offsets[path] = offset

    def _take_element(
        self, token: str, offset: int, container: _Container
    ) -> None:
        """Handle a value in an array or an object."""
        if container.expected == "comma":
            self._add_error(offset, "no ',' before this")
            if not container.is_array:
                self._take_name(token, offset, container)
                return
        elif container.expected == "colon":
            self._add_error(offset, "no ':' before this value")
        container.expected = "comma"
        container.comma_offset = None
        name = container.count if container.is_array else container.key
        container.count += 1
        self._take_value(token, offset, (*container.path, name))

    def _take_value(self, token: str, offset: int, path: Path) -> None:
        """Record a value, which may open a container."""
        # A field's value is placed at the field's name.
        self._scan.offsets.setdefault(path, offset)
        if token == "{":
            self._open.append(_Container(path, False, "name"))
        elif token == "[":
            self._open.append(_Container(path, True, "value"))
        else:
            self._check_scalar(token, offset)
        if len(self._open) > MAX_DEPTH:
            self._is_lost = True
            self._add_error(offset, f"nested deeper than {MAX_DEPTH} levels")

    def _check_scalar(
        self, token: str, offset: int, is_name: bool = False
    ) -> None:
        """Add an error for an invalid string, number or word."""
        if token[0] == '"':
            is_plain = "\\" not in token and token.isprintable()
            if is_plain and len(token) > 1 and token[-1] == '"':
                return
            if not STRING_PATTERN.fullmatch(token):
                self._add_error(offset, "this string isn't valid")
                # What follows a string without end isn't known.
                self._is_lost = len(token) < 2 or token[-1] != '"'
        elif not is_name and not SCALAR_PATTERN.fullmatch(token):
            self._add_error(offset, "neither a number nor a known word")
        elif not is_name and not _is_in_range(token):
            self._add_error(offset, "this number is out of range")

    def _close(self, token: str, offset: int) -> None:
        """Close the container that a bracket belongs to."""
        if not self._open or self._open[-1].is_array != (token == "]"):
            self._add_error(offset, f"unexpected {token!r}")
            return
        container = self._open.pop()
        if container.comma_offset is not None:
            self._add_error(container.comma_offset, "a ',' before the end")
        elif container.expected in ("colon", "value") and container.key:
            self._add_error(offset, f"field {container.key!r} has no value")

    def _add_error(self, offset: int, message: str) -> None:
        """Add one error."""
        self._scan.errors.append(TextError(offset, message))


def _is_in_range(token: str) -> bool:
    """Return whether decoders accept a valid number or word."""
    if token.lstrip("-").isdigit():
        return len(token) <= MAX_INTEGER_DIGITS
    return token.isalpha() or isfinite(float(token))


def may_repeat_fields(text: str) -> bool:
    """Return whether an object of valid JSON may have a field twice.

    This takes a tenth of the time of a scan.
    """
    repeats = False

    def check_object(pairs: list[tuple[str, object]]) -> None:
        nonlocal repeats
        repeats = repeats or len(dict(pairs)) < len(pairs)

    try:
        json.loads(text, object_pairs_hook=check_object)
    except (ValueError, RecursionError):
        # Numbers and depths that this decoder refuses and others accept.
        return True
    return repeats


def scan_json(text: str) -> JsonScan:
    """Find the offsets of all values and the syntax errors of a text."""
    return JsonScanner(text).run()
