"""Support the command line of `pistachiospard`."""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import sys
from typing import TypeVar

from result import Err
from result import Result
import trio

from . import __version__
from .const import EXIT_BAD_INPUT
from .const import EXIT_FAILED
from .const import EXIT_OK
from .helpers.findings import Findings
from .settings.config import read_entry
from .settings.config import read_sidecar
from .settings.models import EntrySettings
from .settings.models import SidecarSettings
from .telemetry.logs import open_log

Settings = TypeVar("Settings")

EPILOG = """\
exit status:
  0  stopped as asked, or --check found nothing
  1  could not run, for example because an address is in use
  2  the settings are not valid; all findings are printed
"""


def make_parser() -> argparse.ArgumentParser:
    """Make the parser."""
    parser = argparse.ArgumentParser(
        prog="pistachiospard",
        description="Run a process of the pistachiospar rollout service.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    roles = parser.add_subparsers(dest="role", required=True)
    for role, text in (
        ("entry", "serve callers and trainers"),
        ("sidecar", "stand beside one upstream instance"),
    ):
        command = roles.add_parser(role, help=text, description=text)
        command.add_argument(
            "--settings",
            required=True,
            metavar="FILE",
            help="settings in JSON with comments",
        )
        command.add_argument(
            "--check",
            action="store_true",
            help="validate the settings and exit",
        )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return the exit status."""
    options = make_parser().parse_args(arguments)
    if options.role == "entry":
        return _run(read_entry(options.settings), options.check, _run_entry)
    return _run(read_sidecar(options.settings), options.check, _run_sidecar)


def _run(
    settings: Result[Settings, Findings],
    check: bool,
    run: Callable[[Settings], None],
) -> int:
    """Run a process with checked settings."""
    if isinstance(settings, Err):
        print(settings.err_value, file=sys.stderr)
        return EXIT_BAD_INPUT
    if check:
        print("settings are valid")
        return EXIT_OK
    faults: list[BaseException] = []
    try:
        run(settings.ok_value)
    except* OSError as group:
        faults.append(group)
    if faults:
        print(f"pistachiospard: {_find_cause(faults[0])}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def _find_cause(error: BaseException) -> BaseException:
    """Return the first error inside nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _run_entry(settings: EntrySettings) -> None:
    """Run an entry until it is told to stop."""
    from .entry.process import EntryProcess

    open_log(settings.process.log, settings.process.name)

    async def serve() -> None:
        await EntryProcess(settings, trio.current_time()).run()

    trio.run(serve)


def _run_sidecar(settings: SidecarSettings) -> None:
    """Run a sidecar until it is told to stop."""
    from .sidecar.process import SidecarProcess

    open_log(settings.process.log, settings.process.name)

    async def serve() -> None:
        await SidecarProcess(settings, trio.current_time()).run()

    trio.run(serve)


if __name__ == "__main__":
    sys.exit(main())
