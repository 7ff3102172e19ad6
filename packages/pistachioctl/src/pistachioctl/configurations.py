"""Check of a configuration before it is sent, and what it would change."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from pistachiospar.adapters.http.address import parse_address
from pistachiospar.bundle.config import find_bundle_warnings
from pistachiospar.bundle.config import validate_bundle
from pistachiospar.helpers.findings import Findings
from pistachiospar.helpers.jsonc import find_top_level_names
from pistachiospar.helpers.jsonc import parse_document
from pistachiospar.platform.config_check import CheckedText
from pistachiospar.platform.config_check import LocatedFinding
from pistachiospar.platform.config_check import read_draft
from pistachiospar.platform.const import KEY_CONFIG
from pistachiospar.platform.const import PREFIX_INSTANCES
from pistachiospar.platform.instances import read_instance
from pistachiospar.platform.store import PlatformKeyValue
from pistachiospar.routing.check_models import ConfigDraft
from pistachiospar.routing.check_models import Severity
from pistachiospar.routing.checks import check_slots
from pistachiospar.routing.checks import find_version_conflict
from pistachiospar.routing.differences import compare_drafts
from pistachiospar.routing.differences import Difference
from result import Err
from result import Ok
from result import Result

from . import const
from .output import Report

BUNDLE_FIELD = "partners"
CHANGE_SIGNS = {"added": "+", "removed": "-", "changed": "~"}


@dataclass(slots=True)
class ConfigCheck:
    """The findings in a file and the differences from the one in force."""

    file: str
    findings: list[LocatedFinding] = field(default_factory=list)
    differences: list[Difference] | None = None
    failure: str = ""

    def make_report(self, is_strict: bool) -> Report:
        """Return the report with the exit status."""
        errors = sum(f.severity is Severity.ERROR for f in self.findings)
        warnings = len(self.findings) - errors
        status = const.EXIT_OK
        if errors:
            status = const.EXIT_BAD_INPUT
        elif self.failure:
            status = const.EXIT_UNKNOWN
        elif warnings and is_strict:
            status = const.EXIT_REFUSED
        summary = f"{self.file}: {errors} errors, {warnings} warnings"
        if self.differences is not None:
            summary += f", {len(self.differences)} differences"
        lines = [self._format_finding(found) for found in self.findings]
        lines.extend(_format_differences(self.differences or ()))
        if self.failure:
            lines.append(self.failure)
        data: dict[str, Any] = {
            "file": self.file,
            "errors": errors,
            "warnings": warnings,
            "findings": [
                asdict(found) | {"severity": found.severity.value}
                for found in self.findings
            ],
        }
        if self.differences is not None:
            data["differences"] = [asdict(d) for d in self.differences]
        return Report([*lines, summary], data, status)

    def _format_finding(self, found: LocatedFinding) -> str:
        """Return `FILE:LINE:COLUMN: severity: path: message [code]`."""
        place = f"{self.file}:{found.line}:{found.column}"
        path = f"{found.path}: " if found.path else ""
        severity = found.severity.value
        return f"{place}: {severity}: {path}{found.message} [{found.code}]"


def _format_differences(differences: Sequence[Difference]) -> list[str]:
    """Return the lines about differences.

    Those in a row that mean the same are explained once, after the last.
    """
    lines = []
    for index, difference in enumerate(differences):
        sign = CHANGE_SIGNS[difference.change]
        lines.append(f"{sign} {difference.subject}: {difference.detail}")
        following = differences[index + 1 : index + 2]
        meaning = (difference.effect, difference.lasting)
        if following and meaning == (
            following[0].effect,
            following[0].lasting,
        ):
            continue
        lines.append(f"    {difference.effect}")
        if difference.lasting:
            lines.append(f"    can't be taken back: {difference.lasting}")
    return lines


async def check_configuration(
    file: str, against: str | None, store: str | None, is_strict: bool
) -> Report:
    """Check a file; compare it with another file or the store's version."""
    read = _read_file(file)
    if isinstance(read, Err):
        return Report([read.err_value], status=const.EXIT_BAD_INPUT)
    check = ConfigCheck(file)
    value = read.ok_value
    text = value.decode(errors="replace")
    # Most files don't have the word, and are spared the search for names.
    if BUNDLE_FIELD in text and BUNDLE_FIELD in find_top_level_names(text):
        check.findings = _check_bundle(text, file)
        if against or store:
            check.failure = "bundles aren't compared; see `history`"
        return check.make_report(is_strict)
    checked = CheckedText(value)
    check.findings = checked.findings
    in_force: Result[ConfigDraft | None, str] = Ok(None)
    if against is not None:
        in_force = _read_draft(against)
        if isinstance(in_force, Err):
            return Report([in_force.err_value], status=const.EXIT_BAD_INPUT)
    elif store is not None:
        in_force = await _fetch_draft(checked, store)
        if isinstance(in_force, Err):
            check.failure = in_force.err_value
    if (against or store) and in_force.is_ok():
        _compare(check, checked, in_force.ok() or ConfigDraft(0))
    return check.make_report(is_strict)


def _compare(
    check: ConfigCheck, checked: CheckedText, in_force: ConfigDraft
) -> None:
    """Add the differences from the version in force."""
    if checked.draft is None:
        return
    check.differences = compare_drafts(in_force, checked.draft)
    conflict = find_version_conflict(checked.draft, in_force)
    if conflict is not None:
        checked.add(conflict)


def _read_file(file: str) -> Result[bytes, str]:
    """Read a file; the Err names it and the cause."""
    try:
        return Ok(Path(file).read_bytes())
    except OSError as error:
        return Err(f"{file}: can't be read: {error.strerror}")


def _read_draft(file: str) -> Result[ConfigDraft | None, str]:
    """Read the configuration to compare with; it may have warnings."""
    read = _read_file(file)
    if isinstance(read, Err):
        return read
    draft = read_draft(read.ok_value)
    if draft is None:
        return Err(f"{file}: not a readable configuration; check it first")
    return Ok(draft)


async def _fetch_draft(
    checked: CheckedText, store: str
) -> Result[ConfigDraft | None, str]:
    """Fetch the configuration in force, None without one.

    Compares the connections of upstreams with the slots of their listed
    instances as well.
    """
    kv = PlatformKeyValue(parse_address(store))
    item = await kv.get_item(KEY_CONFIG)
    listed = await kv.list_items(PREFIX_INSTANCES)
    if isinstance(item, Err):
        return Err(f"store {store}: {item.err_value.detail}")
    if isinstance(listed, Err):
        return Err(f"store {store}: {listed.err_value.detail}")
    slots: dict[str, int] = {}
    for entry in listed.ok_value[0]:
        read = read_instance(entry.key, entry.value)
        if isinstance(read, Ok):
            upstream, number = read.ok_value.upstream, read.ok_value.slots
            slots[upstream] = max(number, slots.get(upstream, 0))
    if checked.draft is not None:
        for found in check_slots(checked.draft, slots):
            checked.add(found)
    if item.ok_value is None:
        return Ok(None)
    draft = read_draft(item.ok_value.value)
    if draft is None:
        return Err(f"store {store}: the configuration there is unreadable")
    return Ok(draft)


def _check_bundle(text: str, file: str) -> list[LocatedFinding]:
    """Check a bundle of the own deployment."""
    document = parse_document(text, file)
    if isinstance(document, Err):
        return list(_locate(document.err_value, Severity.ERROR, "syntax"))
    bundle = validate_bundle(document.ok_value)
    if isinstance(bundle, Err):
        return list(_locate(bundle.err_value, Severity.ERROR, "bundle"))
    warnings = find_bundle_warnings(document.ok_value, bundle.ok_value)
    return list(_locate(warnings, Severity.WARNING, "bundle"))


def _locate(
    findings: Findings, severity: Severity, code: str
) -> Iterable[LocatedFinding]:
    """Convert findings in a bundle."""
    for found in findings.items:
        yield LocatedFinding(
            severity,
            code,
            found.path,
            found.line,
            max(1, found.column),
            found.message,
        )
