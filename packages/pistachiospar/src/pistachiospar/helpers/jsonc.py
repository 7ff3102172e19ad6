"""Support JSON with comments, with the line of each value.

`json5` parses the text; it keeps no positions, so a small scan of the same
text finds the line on which each value begins.
"""

from dataclasses import dataclass
from dataclasses import field
import re
from typing import Any
from typing import Final

import json5
from result import Err
from result import Ok
from result import Result

from .findings import Findings

TOKEN: Final = re.compile(
    r"//[^\n]*|/\*.*?\*/|"
    r'"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])*\'|'
    r"[{}\[\]:,]|[^\s{}\[\]:,\"'/]+",
    re.DOTALL,
)
LINE_IN_MESSAGE: Final = re.compile(r":(\d+)")


@dataclass(frozen=True, slots=True)
class Document:
    """Hold a parsed document and the line of each path."""

    file: str
    value: Any
    lines: dict[str, int]

    def find_line(self, path: str) -> int:
        """Return the line of a path, or of its nearest known parent."""
        while path and path not in self.lines:
            path = path.rpartition(".")[0]
        return self.lines.get(path, 1)


@dataclass(slots=True)
class _Level:
    """Hold one open object or array of the scan."""

    is_array: bool
    prefix: str
    index: int = 0
    key: str | None = None
    expects_key: bool = field(default=True)

    def path(self) -> str:
        """Return the path of the value that comes next."""
        name = str(self.index) if self.is_array else (self.key or "")
        return f"{self.prefix}.{name}" if self.prefix else name


def find_lines(text: str) -> dict[str, int]:
    """Return the line, from 1, on which each dotted path begins."""
    lines: dict[str, int] = {}
    levels: list[_Level] = []
    for match in TOKEN.finditer(text):
        token = match.group()
        if token.startswith(("//", "/*")):
            continue
        line = text.count("\n", 0, match.start()) + 1
        _scan_token(token, line, levels, lines)
    return lines


def _scan_token(
    token: str, line: int, levels: list[_Level], lines: dict[str, int]
) -> None:
    """Take one token of the scan into account."""
    level = levels[-1] if levels else None
    if token in "}]":
        if levels:
            levels.pop()
        return
    if token == ",":
        if level is not None:
            level.index += 1
            level.expects_key = True
        return
    if token == ":":
        return
    if level is not None and not level.is_array and level.expects_key:
        level.key = token.strip("\"'")
        level.expects_key = False
        lines[level.path()] = line
        return
    path = level.path() if level is not None else ""
    lines.setdefault(path, line)
    if token in "{[":
        levels.append(_Level(token == "[", path))


def parse_document(text: str, file: str) -> Result[Document, Findings]:
    """Parse JSON with comments; a syntax error is one finding."""
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        findings = Findings()
        found = LINE_IN_MESSAGE.search(str(error))
        line = int(found.group(1)) if found else 1
        findings.add(file, "", line, f"not valid JSON: {error}")
        return Err(findings)
    return Ok(Document(file, value, find_lines(text)))


def read_document(file: str) -> Result[Document, Findings]:
    """Read and parse a file; a file that can't be read is a finding."""
    try:
        with open(file, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        findings = Findings()
        findings.add(file, "", 1, f"can't be read: {error}")
        return Err(findings)
    return parse_document(text, file)
