"""Commands on processes: status, dump and explain."""

from typing import Any

import msgspec
from pistachiospar.adapters.etcd.client import EtcdKeyValue
from pistachiospar.adapters.http.address import parse_address
from pistachiospar.adapters.http.client import HttpPool
from pistachiospar.adapters.http.errors import HttpError
from pistachiospar.live_state.const import PREFIX_ENTRIES
from pistachiospar.live_state.models import EntryRecord
from result import Err
from result import Ok
from result import Result
import trio

from . import const
from .output import Report


async def fetch_json(address: str, path: str) -> Result[Any, str]:
    """Fetch JSON from the admin port of a process; Err unless status 200."""
    try:
        pool = HttpPool(parse_address(address))
        with trio.fail_after(const.ADMIN_TIMEOUT_S):
            response = await pool.fetch("GET", path)
        value = msgspec.json.decode(response.body)
    except (HttpError, trio.TooSlowError, ValueError) as error:
        return Err(f"{address}: {error!r}")
    if response.status != 200:
        return Err(f"{address}: {value}")
    return Ok(value)


async def show_state(address: str) -> Report:
    """Show the state dump of a process."""
    state = await fetch_json(address, "/state")
    if isinstance(state, Err):
        return Report([state.err_value], status=const.EXIT_UNKNOWN)
    text = msgspec.json.format(msgspec.json.encode(state.ok_value))
    return Report(text.decode().splitlines(), {"state": state.ok_value})


async def show_explanation(address: str, request_id: str) -> Report:
    """Show the decisions taken for a request and their reasons."""
    decisions = await fetch_json(address, f"/explain/{request_id}")
    if isinstance(decisions, Err):
        return Report([decisions.err_value], status=const.EXIT_REFUSED)
    lines = [
        f"{entry['age_s']:9.3f} s ago  {entry['decision']}: {entry['reason']}"
        for entry in decisions.ok_value
    ]
    return Report(lines, {"notes": decisions.ok_value})


async def show_status(key_value: str) -> Report:
    """Show which bundle version is in force at each process."""
    kv = EtcdKeyValue(parse_address(key_value))
    listed = await kv.list_items(PREFIX_ENTRIES)
    if isinstance(listed, Err):
        detail = listed.err_value.detail
        return Report([detail], status=const.EXIT_UNKNOWN)
    rows: dict[str, dict[str, Any]] = {}
    for item in listed.ok_value[0]:
        record = msgspec.json.decode(item.value, type=EntryRecord)
        state = await fetch_json(record.admin, "/state")
        if isinstance(state, Err):
            rows[record.name] = {"role": "entry", "error": state.err_value}
            continue
        _add_rows(rows, state.ok_value)
    lines = [_format_row(name, rows[name]) for name in sorted(rows)]
    return Report(lines or ["no live entry found"], {"processes": rows})


def _add_rows(rows: dict[str, dict[str, Any]], state: Any) -> None:
    """Add the rows of an entry and its sidecars.

    A sidecar that several entries report gets its newest version.
    """
    bundle = state["bundle"]
    lag_s = None
    if bundle["in_force_at_s"] is not None:
        lag_s = round(bundle["in_force_at_s"] - bundle["rolled_at_s"], 3)
    rows[state["name"]] = {
        "role": "entry",
        "version": bundle["version"],
        "in_force_for_s": bundle["in_force_for_s"],
        "current": bundle["current"],
        "lag_s": lag_s,
    }
    for link in state["links"]:
        known = rows.get(link["instance"])
        version = link["bundle_version"]
        if known is None or known["version"] < version:
            rows[link["instance"]] = {
                "role": "sidecar",
                "version": version,
                "heard_ago_s": link["heard_ago_s"],
            }


def _format_row(name: str, row: dict[str, Any]) -> str:
    """Format one process as a text line."""
    if "error" in row:
        return f"{name:24} {row['role']:8} {row['error']}"
    details = "  ".join(
        f"{key}={value}"
        for key, value in row.items()
        if key not in ("role", "version")
    )
    return f"{name:24} {row['role']:8} version {row['version']}  {details}"
