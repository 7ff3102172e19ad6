"""Errors found in an input, collected with their locations."""

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class Finding:
    """One error in an input; `path` is the dotted path of the value.

    `line` and `column` count from 1; column 0 isn't known.
    """

    file: str
    path: str
    line: int
    message: str
    column: int = 0

    def __str__(self) -> str:
        """Return `file:line: path: message`."""
        return f"{self.file}:{self.line}: {self.path}: {self.message}"


@dataclass(slots=True)
class Findings:
    """The findings in one input, to be reported together."""

    items: list[Finding] = field(default_factory=list)

    def add(
        self, file: str, path: str, line: int, message: str, column: int = 0
    ) -> None:
        """Add one finding."""
        self.items.append(Finding(file, path, line, message, column))

    def __bool__(self) -> bool:
        """Return whether there is any finding."""
        return bool(self.items)

    def __str__(self) -> str:
        """Return one line per finding."""
        return "\n".join(str(item) for item in self.items)
