"""Offsets of single values in valid JSON text.

Everything beside the way to a value is skipped by the standard decoder, so
that a large text costs a fraction of a scan of all its tokens.
"""

import json
import re
from typing import Final

from .json_positions import JsonScan
from .json_positions import Path
from .json_positions import scan_json

SPACE_PATTERN: Final = re.compile(r"[ \t\n\r]*")
# Where the name (or an array's element) begins, and where the value begins.
Offsets = tuple[int, int]


class JsonOffsets:
    """Find values of one text; containers on the way are read once."""

    def __init__(self, text: str) -> None:
        """Prepare for a text that is valid JSON."""
        self._text = text
        self._decode = json.JSONDecoder().raw_decode
        self._members: dict[int, dict[str | int, Offsets]] = {}
        self._scan: JsonScan | None = None

    def find_offset(self, path: Path) -> int:
        """Return the offset of a path or its nearest known parent.

        A field is found at its name, an element at its value.
        """
        offset = value_offset = self._skip_space(0)
        try:
            for part in path:
                members = self._read_members(value_offset)
                if part not in members:
                    break
                offset, value_offset = members[part]
        except (ValueError, RecursionError):
            # Numbers and depths that this decoder refuses.
            self._scan = self._scan or scan_json(self._text)
            return self._scan.find_offset(path)
        return offset

    def has_path(self, path: Path) -> bool:
        """Return whether the text has a value at a path."""
        return self.find_offset(path) != self.find_offset(path[:-1])

    def _skip_space(self, offset: int) -> int:
        """Return the offset of the next token."""
        found = SPACE_PATTERN.match(self._text, offset)
        return found.end() if found else offset

    def _read_members(self, start: int) -> dict[str | int, Offsets]:
        """Return the members of the container at an offset; raises ValueError.

        A value that isn't a container has none.
        """
        if start in self._members:
            return self._members[start]
        members: dict[str | int, Offsets] = {}
        is_array = self._text[start] == "["
        if is_array or self._text[start] == "{":
            offset = self._skip_space(start + 1)
            while self._text[offset] not in "]}":
                name: str | int = len(members)
                name_offset = value_offset = offset
                if not is_array:
                    name, offset = self._decode(self._text, offset)
                    value_offset = self._skip_space(
                        self._skip_space(offset) + 1
                    )
                members[name] = name_offset, value_offset
                _, offset = self._decode(self._text, value_offset)
                offset = self._skip_space(offset)
                if self._text[offset] == ",":
                    offset = self._skip_space(offset + 1)
        self._members[start] = members
        return members
