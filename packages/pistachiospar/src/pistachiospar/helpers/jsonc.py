"""Parser of JSON with comments that knows the position of each value.

`json5` parses the text but keeps no positions, so a second scan of the text
finds the line and column at which each value begins.
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
from .json_positions import LineIndex

TOKEN_PATTERN: Final = re.compile(
    r"//[^\n]*|/\*.*?\*/|"
    r'"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])*\'|'
    r"[{}\[\]:,]|[^\s{}\[\]:,\"'/]+",
    re.DOTALL,
)
LINE_NUMBER_PATTERN: Final = re.compile(r":(\d+)")
COLUMN_PATTERN: Final = re.compile(r"at column (\d+)")
Position = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed document; `positions` has line and column by dotted path."""

    file: str
    value: Any
    positions: dict[str, Position]

    def find_position(self, path: str) -> Position:
        """Return line and column of a path or its nearest known parent."""
        while path and path not in self.positions:
            path = path.rpartition(".")[0]
        return self.positions.get(path, (1, 1))


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


def find_top_level_names(text: str) -> set[str]:
    """Return the names of the fields of the outermost object."""
    names: set[str] = set()
    depth = 0
    last = ""
    for match in TOKEN_PATTERN.finditer(text):
        token = match.group()
        if token.startswith(("//", "/*")):
            continue
        if token in "{[":
            depth += 1
        elif token in "}]":
            depth -= 1
        elif token == ":" and depth == 1:
            names.add(last.strip("\"'"))
        last = token
    return names


def find_path_positions(text: str) -> dict[str, Position]:
    """Return line and column, from 1, at which each dotted path begins."""
    positions: dict[str, Position] = {}
    index = LineIndex(text)
    containers: list[_Container] = []
    for match in TOKEN_PATTERN.finditer(text):
        token = match.group()
        if token.startswith(("//", "/*")):
            continue
        position = index.find_position(match.start())
        _scan_token(token, position, containers, positions)
    return positions


def _scan_token(
    token: str,
    position: Position,
    containers: list[_Container],
    positions: dict[str, Position],
) -> None:
    """Update the open containers and the positions for one token."""
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
        positions[container.format_path()] = position
        return
    path = container.format_path() if container is not None else ""
    positions.setdefault(path, position)
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
        found = COLUMN_PATTERN.search(str(error))
        column = int(found.group(1)) if found else 1
        findings.add(file, "", line, f"not valid JSON: {error}", column)
        return Err(findings)
    return Ok(Document(file, value, find_path_positions(text)))


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
