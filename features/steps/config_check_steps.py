"""Step definitions for the check of configurations."""

from random import Random
from threading import Timer
import time
from typing import Any

from behave import given
from behave.runner import Context
from behave import then
from behave import when
import eliot
from pistachioctl.output import Report
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.directory.config_warnings import ConfigWarnings
from pistachiospar.directory.coordinator import Directory
from pistachiospar.organisations.models import KeyRules
from pistachiospar.platform.const import KEY_CONFIG
from pistachiospar.platform.directory import PLATFORM_KEYS
from pistachiospar.telemetry.metrics import Metrics
from pistachiospar_standins.fakes.kv import FakeKeyValue
from pistachiospar_standins.fakes.kv import KvFaultSet
from pistachiospar_standins.kv.store import Store
from pistachiospar_standins.platform.store import PlatformStoreHandler
from support import config_cases
from support.kv_contract import serve_loopback
from support.seed_checks import check_seeds
from support.start_cases import find_free_port
from support.start_cases import launch_gateway
from support.start_cases import read_until
import trio

DRAW_SEED = 20261205
LOG_TIMEOUT_S = 20.0


@when("a configuration without fault is checked")
def check_base(context: Context) -> None:
    """Check the base text with attempts that just fit, strictly.

    In seconds, 0.3 divided by 0.1 is below 3.
    """
    text = config_cases.BASE.replace("2000", "300").replace("400,", "100,")
    context.report = config_cases.check_text(text, is_strict=True)


@then("nothing is found and the exit status is {status:d}")
def check_clean(context: Context, status: int) -> None:
    """Check that there is no finding."""
    assert not context.report.data["findings"], context.report.lines
    assert context.report.status == status, context.report.status


@when("a configuration is checked that has {fault}")
def check_fault(context: Context, fault: str) -> None:
    """Check the base text with one fault, or with several."""
    several = fault == "several faults"
    faults = config_cases.SEVERAL_FAULTS if several else (fault,)
    text = config_cases.make_text(faults)
    context.report = config_cases.check_text(text)
    context.strict = config_cases.check_text(text, is_strict=True)


@then("the one finding is {code} at {path} on line {line:d}")
def check_finding(context: Context, code: str, path: str, line: int) -> None:
    """Check code, path and line of the only finding."""
    found = config_cases.list_findings(context.report)
    expected = (code, "" if path == "-" else path, line)
    assert found == [expected], context.report.lines


@then("the exit status is {status:d}, with --strict {strict:d}")
def check_both_statuses(context: Context, status: int, strict: int) -> None:
    """Check the exit status of both runs."""
    found = (context.report.status, context.strict.status)
    assert found == (status, strict), found


@then("the findings are")
def check_findings(context: Context) -> None:
    """Check code, path and line of all findings."""
    found = config_cases.list_findings(context.report)
    expected = [
        (row["code"], row["path"], int(row["line"])) for row in context.table
    ]
    assert found == expected, context.report.lines


@when("a configuration is compared with one in force that differs by {change}")
def compare_change(context: Context, change: str) -> None:
    """Compare two versions."""
    in_force, text = config_cases.make_pair(change)
    context.report = config_cases.check_text(text, against=in_force)


@then("it is described as {sign} {subject} and {lasting}")
def check_difference(
    context: Context, sign: str, subject: str, lasting: str
) -> None:
    """Check that a difference has the subject, and what lasts of it."""
    changes = {"+": "added", "-": "removed", "~": "changed"}
    found = {
        (d["change"], d["subject"], bool(d["lasting"]))
        for d in context.report.data["differences"]
        if d["subject"] != "version"
    }
    expected = (changes[sign], subject, lasting == "lasting")
    assert expected in found, context.report.lines
    assert all(
        d["effect"] and d["detail"] for d in context.report.data["differences"]
    )


@when("a changed configuration of the same version is compared")
def compare_same_version(context: Context) -> None:
    """Compare a version that differs, but isn't higher."""
    _, text = config_cases.make_pair("a timeout")
    text = text.replace('"version": 4', '"version": 3')
    context.report = config_cases.check_text(text, config_cases.BASE)


@given("a platform's store with a configuration and instances of 200 slots")
def write_store(context: Context) -> None:
    """Write the configuration in force and an instance."""
    context.handler = PlatformStoreHandler()
    store = context.handler.store
    store.write(KEY_CONFIG, config_cases.BASE.encode(), 0, 0.0)
    instance = (
        b'{"service":"app","address":"10.0.0.1:80","zone":"z","slots":200,'
        b'"state":"ready","version":"v1"}'
    )
    store.write("servers/i-1", instance, 0, 0.0)


@when("a configuration is compared with the one in the store")
def compare_store(context: Context) -> None:
    """Compare with the configuration that the stand-in serves."""
    context.report = _check_against_store(context.handler)


@when("a configuration is compared with the one in a store that is away")
def compare_lost_store(context: Context) -> None:
    """Compare while the store refuses all calls."""
    handler = PlatformStoreHandler()
    handler.faults.down = True
    context.report = _check_against_store(handler)


def _check_against_store(handler: PlatformStoreHandler) -> Report:
    """Run the check against a store on loopback."""
    _, text = config_cases.make_pair("a key added")

    async def run() -> Report:
        server = HttpServer(handler.handle)
        async with serve_loopback(server.handle_connection) as address:
            store = f"{address.host}:{address.port}"
            return await trio.to_thread.run_sync(
                config_cases.check_text, text, None, store
            )

    return trio.run(run)


@then("the differences are reported in JSON without a key")
def check_data(context: Context) -> None:
    """Check the data of the report; `check_text` looks for keys."""
    subjects = [d["subject"] for d in context.report.data["differences"]]
    assert subjects == ["version", "key ca74744a"], subjects


@then("the exit status is {status:d}")
def check_status(context: Context, status: int) -> None:
    """Check the exit status."""
    assert context.report.status == status, context.report.lines


@when("a bundle is checked with a default timeout above the maximum")
def check_bundle(context: Context) -> None:
    """Check an example with one value changed."""
    with open("examples/lv-riga/bundle.json5", encoding="utf-8") as stream:
        text = stream.read()
    text = text.replace('ms": 20000', 'ms": 60001')
    context.report = config_cases.check_text(text)
    context.broken = config_cases.check_text(text.replace("0.4", "-0.4"))


@then("the bundle's finding has its line and column")
def check_bundle_finding(context: Context) -> None:
    """Check the places of a warning and of an error."""
    (found,) = context.report.data["findings"]
    assert (found["line"], found["column"]) == (46, 7), found
    assert found["path"] == "upstreams.0.default_timeout_ms", found
    (found,) = context.broken.data["findings"]
    assert (found["line"], found["column"]) == (13, 7), found
    assert context.broken.status == 2


@when("{count:d} organisations are checked against another version")
def check_many(context: Context, count: int) -> None:
    """Check and compare large configurations, with one fault."""
    old = config_cases.make_large(3, count)
    new = config_cases.make_large(4, count, 1).replace('"org-8"', '"org-9"')
    started = time.process_time()
    context.report = config_cases.check_text(new, against=old)
    context.took_s = time.process_time() - started


@then("the check takes less than {limit_s:g} s of processor time")
def check_duration(context: Context, limit_s: float) -> None:
    """Check the time, and that the fault and all changes were found."""
    found = config_cases.list_findings(context.report)
    assert [code for code, _, _ in found] == ["duplicate-organisation"], found
    assert len(context.report.data["differences"]) > 2 * (10_000 // 7)
    assert context.took_s < limit_s, context.took_s


@then(
    "{count:d} damaged configurations cause no traceback and no false approval"
)
def check_damaged(context: Context, count: int) -> None:
    """Check many seeds; hypothesis draws the same ones in each run."""
    check_seeds(count, DRAW_SEED, config_cases.find_violations)


@when(
    "a gateway's configuration comes into force with {count:d} unused services"
)
def log_unused(context: Context, count: int) -> None:
    """Log the findings of a version, and of one that has one more."""
    names = [f'{{"name": "s{number}"}}, ' for number in range(count)]
    more = "".join(names)
    first = config_cases.BASE.replace(
        '{"name": "app"', more + '{"name": "app"'
    )
    second = first.replace(
        '{"name": "app"', '{"name": "late"}, {"name": "app"'
    )
    second = second.replace('"version": 3', '"version": 4')
    context.count = count
    context.lines = _log_findings([first, second])


def _log_findings(texts: list[str]) -> list[list[dict[str, Any]]]:
    """Return the lines about findings that each version causes."""
    store = Store()
    kv = FakeKeyValue(store, KvFaultSet())
    directory = Directory(
        kv,
        kv,
        PLATFORM_KEYS,
        Metrics(),
        Random(0),
        KeyRules(),
        time.monotonic,
    )
    ConfigWarnings(directory)
    found = []
    for text in texts:
        lines: list[dict[str, Any]] = []
        store.write(KEY_CONFIG, text.encode(), 0, 0.0)
        eliot.add_destinations(lines.append)
        try:
            assert trio.run(directory.configuration_mirror.list_once)
        finally:
            eliot.remove_destination(lines.append)
        assert f'"version": {directory.table.version}' in text
        found.append(
            [x for x in lines if "configuration_f" in x["message_type"]]
        )
    return found


@then("{count:d} findings and the number left out are logged")
def check_lines(context: Context, count: int) -> None:
    """Check the lines of the first version."""
    *findings, last = context.lines[0]
    assert len(findings) == count, findings
    assert {f["message_type"] for f in findings} == {"configuration_finding"}
    assert last["message_type"] == "configuration_findings_left_out", last
    assert last["count"] == context.count - count, last


@then("the next version logs only what is new")
def check_next_lines(context: Context) -> None:
    """Check the lines of the second version."""
    (line,) = context.lines[1]
    assert line["subject"] == "upstream 'late'", line


@when("a gateway is launched with a configuration that has {fault}")
def launch_with_fault(context: Context, fault: str) -> None:
    """Launch a gateway on a store that has the configuration."""
    handler = PlatformStoreHandler()
    text = config_cases.make_text((fault,))
    handler.store.write(KEY_CONFIG, text.encode(), 0, 0.0)

    def read_log(store: str) -> bool:
        with launch_gateway(find_free_port(), store) as process:
            timer = Timer(LOG_TIMEOUT_S, process.kill)
            timer.start()
            is_logged = read_until(process, b"configuration_finding")
            timer.cancel()
            return is_logged

    async def run() -> bool:
        server = HttpServer(handler.handle)
        async with serve_loopback(server.handle_connection) as address:
            store = f"{address.host}:{address.port}"
            return await trio.to_thread.run_sync(read_log, store)

    context.is_logged = trio.run(run)


@then("it logs the finding")
def check_logged(context: Context) -> None:
    """Check that the line came before the process ended."""
    assert context.is_logged
