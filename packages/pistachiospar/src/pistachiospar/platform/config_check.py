"""Check of a configuration's text, with the position of each finding."""

from dataclasses import dataclass
from difflib import get_close_matches
import re
from typing import Any
from typing import Final

import msgspec
from result import Err

from ..helpers.json_offsets import JsonOffsets
from ..helpers.json_positions import LineIndex
from ..helpers.json_positions import may_repeat_fields
from ..helpers.json_positions import Path
from ..helpers.json_positions import scan_json
from ..helpers.struct_errors import find_struct_errors
from ..helpers.struct_errors import StructErrors
from ..routing.check_models import ConfigDraft
from ..routing.check_models import ConfigFinding
from ..routing.check_models import Severity
from ..routing.checks import check_draft
from .config_draft import ConfigDraftMessage
from .config_draft import make_draft
from .config_draft import translate_place
from .manifest import read_table

_TENANTS: Final = "tenants"
_BYTE_PATTERN: Final = re.compile(r"\(byte (\d+)\)")
_PATH_PATTERN: Final = re.compile(r"\$((?:\.\w+|\[\d+\])+)")
_PART_PATTERN: Final = re.compile(r"\w+")
# Findings that names in the invalid part of a file would cause.
_CODES_BY_PART: Final = {
    "services": ("unknown-upstream",),
    "routes": ("unused-upstream",),
    "tenants": (),
}


@dataclass(frozen=True, slots=True)
class LocatedFinding:
    """A finding with its path, line and column; both count from 1."""

    severity: Severity
    code: str
    path: str
    line: int
    column: int
    message: str


class CheckedText:
    """A configuration's text; `draft` is None if it can't be read.

    With errors of type, the draft has neutral values in their place.
    """

    def __init__(self, value: bytes) -> None:
        """Check the text; `findings` has what was found, in its order."""
        self.findings: list[LocatedFinding] = []
        self.draft: ConfigDraft | None = None
        self._text = value.decode(errors="surrogateescape")
        self._lines = LineIndex(self._text)
        self._offsets = JsonOffsets(self._text)
        if self._find_encoding_error(value):
            return
        self._is_json = False
        try:
            raw = msgspec.json.decode(value)
        except (msgspec.MsgspecError, RecursionError) as error:
            if not self._find_syntax_errors():
                self._add_reader_error(str(error))
        else:
            self._is_json = True
            if may_repeat_fields(self._text):
                self._find_syntax_errors()
            self._check_values(value, raw)
        self.findings.sort(key=lambda found: (found.line, found.column))

    @property
    def has_errors(self) -> bool:
        """Return whether any finding is an error."""
        return any(f.severity is Severity.ERROR for f in self.findings)

    def add(self, finding: ConfigFinding) -> None:
        """Add a finding of the checks on data classes."""
        path = translate_place(finding.place)
        if "split" in path and not self._offsets.has_path(path[:3]):
            # Without shares, a route has one, of its own field.
            path = (*path[:2], "service")
        message = f"{finding.subject}: {finding.message}"
        self._add(finding.severity, finding.code, path, message)

    def _find_encoding_error(self, value: bytes) -> bool:
        """Add an error for bytes that aren't UTF-8."""
        try:
            value.decode()
        except UnicodeDecodeError as error:
            offset = len(value[: error.start].decode())
            self._add_at(offset, "syntax", (), "not UTF-8")
            return True
        return False

    def _find_syntax_errors(self) -> bool:
        """Add the syntax errors; return whether there are any."""
        scan = scan_json(self._text)
        for error in scan.errors:
            self._add_at(error.offset, "syntax", (), error.message)
        for path, offset in scan.duplicates:
            name = self._name_field(path)
            message = f"{name} is set twice; the last one counts"
            self._add_at(offset, "duplicate-field", path[:-1], message)
        return bool(scan.errors)

    def _check_values(self, value: bytes, raw: Any) -> None:
        """Check types, then what the values mean."""
        repaired, errors = find_struct_errors(raw, ConfigDraftMessage)
        for path, message in errors.errors:
            self._add(Severity.ERROR, "type", path, message)
        self._add_unknown_fields(errors)
        self.draft = make_draft(msgspec.convert(repaired, ConfigDraftMessage))
        for finding in check_draft(self.draft):
            if not _is_consequence(finding, errors):
                self.add(finding)
        table = read_table(value)
        if isinstance(table, Err) and not self.has_errors:
            self._add_reader_error(table.err_value)

    def _add_unknown_fields(self, errors: StructErrors) -> None:
        """Warn of fields that no reader knows."""
        for path, names in errors.unknown:
            message = f"{self._name_field(path)} is ignored"
            close = get_close_matches(str(path[-1]), names, 1)
            if close:
                message += f"; did you mean {close[0]!r}?"
            offset = self._offsets.find_offset(path)
            self._add_at(
                offset, "unknown-field", path[:-1], message, Severity.WARNING
            )

    def _add_reader_error(self, message: str) -> None:
        """Add the reader's own error at the place that it names."""
        byte = _BYTE_PATTERN.search(message)
        found = _PATH_PATTERN.search(message)
        if byte:
            encoded = self._text.encode()[: int(byte.group(1))]
            offset = len(encoded.decode(errors="ignore"))
            self._add_at(offset, "unreadable", (), message)
            return
        if not self._is_json:
            self._add_at(0, "unreadable", (), message)
            return
        parts = _PART_PATTERN.findall(found.group(1)) if found else []
        path = tuple(int(p) if p.isdigit() else p for p in parts)
        self._add(Severity.ERROR, "unreadable", path, message)

    def _name_field(self, path: Path) -> str:
        """Return how a message names a field.

        In organisations it doesn't, since a misplaced key may be the name.
        """
        if _TENANTS in path[:1]:
            return "a field"
        return f"field {path[-1]!r}"

    def _add(
        self, severity: Severity, code: str, path: Path, message: str
    ) -> None:
        """Add a finding at a path."""
        offset = self._offsets.find_offset(path)
        self._add_at(offset, code, path, message, severity)

    def _add_at(
        self,
        offset: int,
        code: str,
        path: Path,
        message: str,
        severity: Severity = Severity.ERROR,
    ) -> None:
        """Add a finding at an offset of the text."""
        line, column = self._lines.find_position(offset)
        dotted = ".".join(str(part) for part in path)
        self.findings.append(
            LocatedFinding(severity, code, dotted, line, column, message)
        )


def read_draft(value: bytes) -> ConfigDraft | None:
    """Return the draft of a configuration that gateways accept."""
    try:
        return make_draft(msgspec.json.decode(value, type=ConfigDraftMessage))
    except (msgspec.MsgspecError, RecursionError):
        return None


def _is_consequence(finding: ConfigFinding, errors: StructErrors) -> bool:
    """Return whether an error of type may be the cause of a finding."""
    place = translate_place(finding.place)
    for path, _ in errors.errors:
        if place[:2] == path[:2] or len(path) < 2 and path == place[:1]:
            return True
        if not path or finding.code in _CODES_BY_PART.get(str(path[0]), ()):
            return True
    return False
