"""Parser of JSON with comments that knows the line of each value.

`json5` parses the text but keeps no positions, so a second scan of the text
finds the line on which each value begins.
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

TOKEN_PATTERN: Final = re.compile(
    r"//[^\n]*|/\*.*?\*/|"
    r'"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])*\'|'
    r"[{}\[\]:,]|[^\s{}\[\]:,\"'/]+",
    re.DOTALL,
)
LINE_NUMBER_PATTERN: Final = re.compile(r":(\d+)")


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed document and the line of each dotted path."""

    file: str
    value: Any
    lines: dict[str, int]

    def find_line(self, path: str) -> int:
        """Return the line of a path or its nearest known parent, or 1."""
        while path and path not in self.lines:
            path = path.rpartition(".")[0]
        return self.lines.get(path, 1)


@dataclass(slots=True)
class _Container:
    """An object or array that the scan has open."""

    is_array: bool
    prefix: str
    index: int = 0
    key: str | None = None
    expects_key: bool = field(default=True)

    def format_path(self) -> str:
        """Return the dotted path of the next value in this container."""
        name = str(self.index) if self.is_array else (self.key or "")
        return f"{self.prefix}.{name}" if self.prefix else name


def find_path_lines(text: str) -> dict[str, int]:
    """Return the line, from 1, on which each dotted path begins."""
    lines: dict[str, int] = {}
    containers: list[_Container] = []
    for match in TOKEN_PATTERN.finditer(text):
        token = match.group()
        if token.startswith(("//", "/*")):
            continue
        line = text.count("\n", 0, match.start()) + 1
        _scan_token(token, line, containers, lines)
    return lines


def _scan_token(
    token: str, line: int, containers: list[_Container], lines: dict[str, int]
) -> None:
    """Update the open containers and the lines for one token."""
    container = containers[-1] if containers else None
    if token in "}]":
        if containers:
            containers.pop()
        return
    if token == ",":
        if container is not None:
            container.index += 1
            container.expects_key = True
        return
    if token == ":":
        return
    if (
        container is not None
        and not container.is_array
        and container.expects_key
    ):
        container.key = token.strip("\"'")
        container.expects_key = False
        lines[container.format_path()] = line
        return
    path = container.format_path() if container is not None else ""
    lines.setdefault(path, line)
    if token in "{[":
        containers.append(_Container(token == "[", path))


def parse_document(text: str, file: str) -> Result[Document, Findings]:
    """Parse JSON with comments; a syntax error becomes one finding."""
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        findings = Findings()
        found = LINE_NUMBER_PATTERN.search(str(error))
        line = int(found.group(1)) if found else 1
        findings.add(file, "", line, f"not valid JSON: {error}")
        return Err(findings)
    return Ok(Document(file, value, find_path_lines(text)))


def read_document(file: str) -> Result[Document, Findings]:
    """Read and parse a file; an unreadable file becomes one finding."""
    try:
        with open(file, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        findings = Findings()
        findings.add(file, "", 1, f"can't be read: {error}")
        return Err(findings)
    return parse_document(text, file)
