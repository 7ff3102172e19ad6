"""Configurations with one fault each, and changes between two versions."""

import json
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from pistachioctl.configurations import check_configuration
from pistachioctl.output import Report
from pistachiospar.platform.config_check import CheckedText
from pistachiospar.platform.manifest import read_table
from pistachiospar.routing.checks import check_table
from pistachiospar.routing.differences import compare_drafts
from result import Ok
import trio

BASE = (Path(__file__).parent / "config_base.json").read_text()
SOUTH = '"apiKeys": ["key-of-south"]'
NORTH = '"apiKeys": ["key-of-north"]'
POOL = '{"service": "pool", "weight": 3}'

# What is replaced in the base text, and by what.
FAULTS: dict[str, tuple[str, str]] = {
    "a missing comma": ("1},\n", "1}\n"),
    "a trailing comma": ("20}\n", "20},\n"),
    "a missing colon": ('"host": "h"', '"host" "h"'),
    "a value that is no JSON": ('"maxConns": 100', '"maxConns": hundred'),
    "a string without end": ('"m"}]}}', '"m}]}}'),
    "a bad escape": ('"a"', r'"\a"'),
    "half a surrogate pair": ('"a"', r'"\ud83d"'),
    "a number out of range": ('"priority": 1}', '"priority": 1e999}'),
    "a byte that is not UTF-8": ('"a"', '"\udcff"'),
    "text after the end": ("\n}\n", "\n}\n{}\n"),
    "lists nested too deeply": ("3,", "3, " + '"x": ' + "[" * 5000),
    "a field twice": ('"host": "h"', '"host": "g", "host": "h"'),
    "a misspelt field": ('"priority"', '"priorty"'),
    "a key as a field's name": (NORTH, NORTH + ', "key-of-west": 1'),
    "text in place of a number": ("2000", '"2000"'),
    "a fraction of attempts": ('"maxAttempts": 3', '"maxAttempts": 3.5'),
    "a route without a name": ('"name": "a", ', ""),
    "a key that is a number": ('"key-of-north"', "4711"),
    "keys that are no list": ('["key-of-north"]', '"key-of-north"'),
    "no limits": (BASE.splitlines()[10], ""),
    "version 0": ('"version": 3', '"version": 0'),
    "a shadowed route": ('"/r/"', '"/"'),
    "two routes of one name": ('"name": "r"', '"name": "a"'),
    "a prefix without a slash": ('"/r/"', '"r/"'),
    "a route without a host": (
        '"host": "h", "prefix": "/r/"',
        '"host": "", "prefix": "/r/"',
    ),
    "a kind that is not known": ('"safe"', '"save"'),
    "a service beside a split": ('"split"', '"service": "app", "split"'),
    "a missing service": ('"service": "app", "timeout', '"timeout'),
    "a missing service in a split": (
        POOL,
        POOL + ', {"service": "x", "weight": 1}',
    ),
    "a service twice in a split": (POOL, f"{POOL}, {POOL}"),
    "a share of weight 0": ('"weight": 3', '"weight": 0'),
    "a weight below 0": ('"weight": 3', '"weight": -0.5'),
    "weights that add up to 0": (
        '"weight": 1}, {"service": "pool", "weight": 3',
        '"weight": 0}, {"service": "pool", "weight": 0',
    ),
    "no timeout": ('"timeoutMs": 2000', '"timeoutMs": 0'),
    "a latency above the timeout": ("400", "2001"),
    "a latency below 0": ("400", "-1"),
    "a route's priority below 0": ('"priority": 1', '"priority": -1'),
    "no attempts": ('"maxAttempts": 3', '"maxAttempts": 0'),
    "too many attempts": ('"maxAttempts": 3', '"maxAttempts": 6'),
    "a due time above the age": ("7500", "20001"),
    "a due time below 0": ("7500", "-1"),
    "a rollout without an age": ('"maxAgeS": 20', '"maxAgeS": 0'),
    "a service that no route uses": (
        '{"name": "pool"',
        '{"name": "pool"}, {"name": "x"',
    ),
    "two services of one name": (
        '{"name": "pool"',
        '{"name": "pool"}, {"name": "pool"',
    ),
    "a service without connections": ('"maxConns": 100', '"maxConns": 0'),
    "a minimum above the maximum": ('"min": 1', '"min": 5'),
    "a minimum below 0": ('"min": 1', '"min": -1'),
    "a boot time below 0": ('"bootS": 20', '"bootS": -20'),
    "an idle timeout too short": ("15000", "2999"),
    "no room for headers": ("16384", "0"),
    "an organisation without key": ('["key-of-north"]', "[]"),
    "an organisation without name": ('"north"', '""'),
    "organisations of one name": ('"south"', '"north"'),
    "an organisation's priority below 0": ('"priority": 2', '"priority": -2'),
    "a key of two organisations": (SOUTH, NORTH),
    "a key listed twice": (NORTH, NORTH.replace("]", ', "key-of-north"]')),
    "a key that is too long": ('"key-of-north"', '"' + "key-of-" * 80 + '"'),
    "an empty key": ('["key-of-north"]', '["key-of-north", ""]'),
    "a digest that is not base64": (NORTH, NORTH + ', "keyDigests": ["x"]'),
    "a key with a space": ('"key-of-north"', '"key-of- north"'),
}
SEVERAL_FAULTS = (
    "a misspelt field",
    "no attempts",
    "a prefix that is a number",
    "connections that are text",
)
FAULTS["a prefix that is a number"] = ('"/r/"', "4")
FAULTS["connections that are text"] = ('"maxConns": 100', '"maxConns": "1"')
CHANGES: dict[str, tuple[str, str]] = {
    "a route added": (
        '{"name": "r"',
        '{"name": "new", "host": "n", "prefix": "/", "service": "app"}, '
        '{"name": "r"',
    ),
    "a route removed": (BASE.splitlines()[3] + "\n", ""),
    "a rollout removed": (",\n" + BASE.splitlines()[4], ""),
    "a timeout": ("2000", "1900"),
    "a kind that is repeated": ('"safe"', '"unsafe"'),
    "a public route": ('"priority": 1', '"priority": 1, "public": true'),
    "a service's connections": ('"maxConns": 100', '"maxConns": 90'),
    "a higher minimum": ('"min": 1', '"min": 2'),
    "another limit": ("16384", "16385"),
    "an organisation removed": (",\n" + BASE.splitlines()[13], ""),
    "another priority": ('"priority": 2', '"priority": 3'),
    "a key added": (NORTH, NORTH.replace("]", ', "key-new"]')),
    "a key removed": ('"key-of-south"', ""),
    "a key moved": ('["key-of-south"]', "[]"),
    "no organisations any more": ('"tenants"', '"tenant"'),
}


def make_text(faults: tuple[str, ...]) -> str:
    """Return the base text with some faults."""
    text = BASE
    for fault in faults:
        old, new = FAULTS[fault]
        assert old in text, fault
        text = text.replace(old, new, 1)
    return text


def make_pair(change: str) -> tuple[str, str]:
    """Return the configuration in force and the changed one."""
    old, new = CHANGES[change]
    assert old in BASE, change
    text = BASE.replace(old, new, 1)
    if change == "a key moved":
        text = text.replace(NORTH, NORTH.replace("]", ', "key-of-south"]'))
    if change == "a kind that is repeated":
        return text, BASE.replace('"version": 3', '"version": 4')
    return BASE, text.replace('"version": 3', '"version": 4')


def check_text(
    text: str,
    against: str | None = None,
    store: str | None = None,
    is_strict: bool = False,
) -> Report:
    """Run the command on a text; no key may be in its report.

    Whatever it calls clean, the gateway's reader accepts.
    """
    value = text.encode(errors="surrogateescape")
    is_accepted = read_table(value).is_ok()
    with TemporaryDirectory() as folder:
        file = Path(folder) / "new.json"
        file.write_bytes(value)
        other = Path(folder) / "old.json"
        other.write_text(against or "")
        report = trio.run(
            check_configuration,
            str(file),
            str(other) if against is not None else None,
            store,
            is_strict,
        )
    shown = "\n".join(report.lines) + json.dumps(report.data)
    assert "key-of-" not in shown and "key-new" not in shown, shown
    is_bundle = "partners" in text
    assert report.data["errors"] or is_accepted or is_bundle, shown
    return report


def list_findings(report: Report) -> list[tuple[str, str, int]]:
    """Return code, path and line of each finding."""
    return [(f["code"], f["path"], f["line"]) for f in report.data["findings"]]


def make_large(version: int, count: int, turn: int = 0) -> str:
    """Return a configuration with many organisations.

    Another `turn` gives a seventh of them another key.
    """
    value = json.loads(BASE)
    value["version"] = version
    value["tenants"] = [
        {
            "name": f"org-{number}",
            "apiKeys": [f"first-{number}-{turn if number % 7 == 0 else 0}"],
            "priority": number % 4,
        }
        for number in range(count)
    ]
    return json.dumps(value, indent=1)


def find_violations(number: int) -> list[str]:
    """Damage the base text, and compare the check with the reader."""
    rng = Random(number)
    text = _damage_text(rng) if rng.random() < 0.5 else _damage_value(rng)
    value = text.encode(errors="surrogateescape")
    checked = CheckedText(value)
    table = read_table(value)
    violations = []
    lines = text.split("\n")
    for found in checked.findings:
        inside = 1 <= found.line <= len(lines)
        if not inside or not 1 <= found.column <= 1 + len(
            lines[found.line - 1]
        ):
            violations.append(f"no such place: {found}: {text}")
    if not checked.has_errors and (checked.draft is None or table.is_err()):
        violations.append(f"called clean: {table}: {text}")
    if isinstance(table, Ok):
        check_table(table.ok_value)
    if checked.draft is not None:
        base = CheckedText(BASE.encode()).draft
        assert base is not None
        compare_drafts(base, checked.draft)
    return violations


def _damage_text(rng: Random) -> str:
    """Return the base text with some characters changed."""
    characters = list(BASE)
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(characters))
        drawn = rng.choice('{}[]:,"\\ \n\t0-1e.\x00tnuléa\u2028')
        match rng.randrange(3):
            case 0:
                characters[position] = drawn
            case 1:
                characters.insert(position, drawn)
            case _:
                del characters[position : position + rng.randint(1, 9)]
    return "".join(characters)


def _damage_value(rng: Random) -> str:
    """Return the base configuration with some values replaced."""
    value = json.loads(BASE)
    for _ in range(rng.randint(1, 3)):
        _replace_value(value, rng)
    return json.dumps(value, indent=rng.choice((None, 1)))


def _replace_value(value: Any, rng: Random) -> None:
    """Replace or remove one value somewhere inside."""
    while True:
        keys = list(value) if isinstance(value, dict) else range(len(value))
        if not keys:
            return
        key = rng.choice(list(keys))
        if isinstance(value[key], dict | list) and rng.random() < 0.8:
            value = value[key]
            continue
        if rng.random() < 0.2:
            del value[key]
            return
        value[key] = rng.choice(
            (None, True, -1, 0, 1, 2.5, 1e308, 10**400, "", "a", "\u2028")
            + ([], {}, [[]], [{}], "x" * 600)
        )
        return
