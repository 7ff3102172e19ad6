"""Command line of `pistachiospard`, which runs one process."""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import sys
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Result

from . import __version__
from .const import EXIT_BAD_INPUT
from .const import EXIT_FAILED
from .const import EXIT_OK

# Each role imports only its own modules: memory and start time are billed.
if TYPE_CHECKING:
    from .helpers.findings import Findings
    from .platform.settings import GatewaySettings
    from .settings.models import EntrySettings
    from .settings.models import SidecarSettings

Settings = TypeVar("Settings")

EPILOG = """\
exit status:
  0  stopped as asked, or --check found nothing
  1  could not run, for example because an address is in use
  2  the settings are not valid; all findings are printed
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all roles."""
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
        ("sidecar", "run beside one upstream instance and control its calls"),
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
    text = "serve callers and trainers on the users' platform"
    gateway = roles.add_parser("gateway", help=text, description=text)
    gateway.add_argument(
        "--settings",
        metavar="FILE",
        help="platform settings in YAML "
        "(default: the path in PISTACHIOSPAR_NODE_FILE, "
        "or /etc/pistachiospar/node.yaml)",
    )
    gateway.add_argument(
        "--check",
        action="store_true",
        help="validate the settings and exit",
    )
    gateway.add_argument(
        "--listen-descriptor",
        type=int,
        metavar="N",
        help="serve callers on this socket, which listens already, instead "
        "of the address in the settings",
    )
    text = "occupy an instance without work or stored data until stopped"
    roles.add_parser("standby", help=text, description=text)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return the exit status."""
    options = make_parser().parse_args(arguments)
    match options.role:
        case "entry":
            from .settings.config import read_entry

            entry = read_entry(options.settings)
            return _run_role(entry, options.check, _run_entry)
        case "sidecar":
            from .settings.config import read_sidecar

            sidecar = read_sidecar(options.settings)
            return _run_role(sidecar, options.check, _run_sidecar)
        case "gateway":
            from .platform.settings import find_settings_file
            from .platform.settings import read_gateway

            file = options.settings or find_settings_file()
            gateway = read_gateway(file)
            return _run_role(
                gateway,
                options.check,
                lambda found: _run_gateway(found, options.listen_descriptor),
            )
    from .standby.process import wait_for_stop

    wait_for_stop()
    return EXIT_OK


def _run_role(
    settings: "Result[Settings, Findings] | Result[Settings, str]",
    check_only: bool,
    run: Callable[[Settings], None],
) -> int:
    """Run a role, or only report the check; return the exit status."""
    if isinstance(settings, Err):
        print(settings.err_value, file=sys.stderr)
        return EXIT_BAD_INPUT
    if check_only:
        print("settings are valid")
        return EXIT_OK
    errors: list[BaseException] = []
    try:
        run(settings.ok_value)
    except* OSError as group:
        errors.append(group)
    if errors:
        print(
            f"pistachiospard: {_find_first_error(errors[0])}", file=sys.stderr
        )
        return EXIT_FAILED
    return EXIT_OK


def _find_first_error(error: BaseException) -> BaseException:
    """Return the first error within nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _run_entry(settings: "EntrySettings") -> None:
    """Run an entry until SIGTERM or SIGINT."""
    import trio

    from .entry.process import EntryProcess
    from .telemetry.logs import open_log

    open_log(settings.process.log, settings.process.name)

    async def serve() -> None:
        await EntryProcess(settings, trio.current_time()).run()

    trio.run(serve)


def _run_gateway(
    settings: "GatewaySettings", listen_descriptor: int | None
) -> None:
    """Run a gateway until SIGTERM or SIGINT."""
    import trio

    from .gateway.process import GatewayProcess
    from .settings.const import STDOUT
    from .telemetry.logs import open_log

    open_log(STDOUT, settings.name)

    async def serve() -> None:
        await GatewayProcess(settings, listen_descriptor).run()

    trio.run(serve)


def _run_sidecar(settings: "SidecarSettings") -> None:
    """Run a sidecar until SIGTERM or SIGINT."""
    import trio

    from .sidecar.process import SidecarProcess
    from .telemetry.logs import open_log

    open_log(settings.process.log, settings.process.name)

    async def serve() -> None:
        await SidecarProcess(settings, trio.current_time()).run()

    trio.run(serve)


if __name__ == "__main__":
    sys.exit(main())
