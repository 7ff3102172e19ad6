"""Log lines for findings in the configuration in force."""

from typing import Final

from ..routing.check_models import ConfigFinding
from ..routing.checks import check_table
from ..routing.models import RouteTable
from ..telemetry.logs import log_event
from .coordinator import Directory

# Each version may bring other findings, at 64,000 versions a day.
MAX_LOGGED_FINDINGS: Final = 20


class ConfigWarnings:
    """Check each configuration that comes into force, and log what is new.

    Findings that the version before had as well aren't logged again. The
    configuration is in force before, whatever is found.
    """

    def __init__(self, directory: Directory) -> None:
        """Check the present configuration, and those that follow."""
        self._directory = directory
        self._version = 0
        self._known: set[tuple[str, str, str]] = set()
        directory.subscribe(self._handle_change)
        self._handle_change()

    def _handle_change(self) -> None:
        """Check the configuration if it is another one than before."""
        table = self._directory.table
        if table.version != self._version:
            self._version = table.version
            self._log_findings(table)

    def _log_findings(self, table: RouteTable) -> None:
        """Log up to `MAX_LOGGED_FINDINGS` findings that are new."""
        by_text = {
            (f.code, f.subject, f.message): f for f in check_table(table)
        }
        new = [f for text, f in by_text.items() if text not in self._known]
        self._known = set(by_text)
        for finding in new[:MAX_LOGGED_FINDINGS]:
            _log_finding(table.version, finding)
        if len(new) > MAX_LOGGED_FINDINGS:
            log_event(
                "configuration_findings_left_out",
                version=table.version,
                count=len(new) - MAX_LOGGED_FINDINGS,
            )


def _log_finding(version: int, finding: ConfigFinding) -> None:
    """Write the line about one finding."""
    log_event(
        "configuration_finding",
        version=version,
        severity=finding.severity.value,
        code=finding.code,
        subject=finding.subject,
        detail=finding.message,
    )
