"""Command line of `pistachioctl`."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import sys

from pistachiospar import __version__
from pistachiospar.adapters.http.address import parse_address
import trio

from . import bundles
from . import configurations
from . import const
from . import keys
from . import processes
from . import traces
from .output import print_report
from .output import Report

Command = Callable[[argparse.Namespace], Awaitable[Report]]


def parse_address_argument(text: str) -> str:
    """Return the argument if it is IP:port; else raise ArgumentTypeError."""
    try:
        parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError("expected IP:port") from error
    return text


async def run_check(options: argparse.Namespace) -> Report:
    """Run `bundle check`."""
    return bundles.check_bundle(options.file)


async def run_propose(options: argparse.Namespace) -> Report:
    """Run `bundle propose`."""
    roller = bundles.make_roller(options.key_value)
    return await bundles.propose_bundle(roller, options.file)


async def run_sign(options: argparse.Namespace) -> Report:
    """Run `bundle sign`."""
    roller = bundles.make_roller(options.key_value)
    return await bundles.sign_proposal(
        roller, options.digest, options.partner, options.key
    )


async def run_roll(options: argparse.Namespace) -> Report:
    """Run `bundle roll`."""
    roller = bundles.make_roller(options.key_value)
    return await bundles.roll_proposal(roller, options.digest, options.timeout)


async def run_status(options: argparse.Namespace) -> Report:
    """Run `bundle status`."""
    return await processes.show_status(options.key_value)


async def run_history(options: argparse.Namespace) -> Report:
    """Run `history`."""
    return await bundles.show_history(bundles.make_roller(options.key_value))


async def run_generate(options: argparse.Namespace) -> Report:
    """Run `keys generate`."""
    return keys.generate_key_file(options.out)


async def run_dump(options: argparse.Namespace) -> Report:
    """Run `dump`."""
    return await processes.show_state(options.address)


async def run_explain(options: argparse.Namespace) -> Report:
    """Run `explain`."""
    return await processes.show_explanation(
        options.address, options.request_id
    )


async def run_trace(options: argparse.Namespace) -> Report:
    """Run `trace`."""
    return traces.trace_id(options.id, options.files)


async def run_config_check(options: argparse.Namespace) -> Report:
    """Run `config check`."""
    options.json = options.json or options.format == "json"
    return await configurations.check_configuration(
        options.file, options.against, options.store, options.strict
    )


def make_parser() -> argparse.ArgumentParser:
    """Make the argument parser."""
    parser = argparse.ArgumentParser(
        prog="pistachioctl",
        description="Operate a pistachiospar rollout service.",
        epilog=const.EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )
    parser.add_argument(
        "--key-value",
        type=parse_address_argument,
        default="127.0.0.1:2379",
        metavar="IP:PORT",
        help="the platform's key-value service (default %(default)s)",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_bundle_commands(commands)
    _add_config_commands(commands)
    _add_command(
        commands,
        "history",
        run_history,
        "list the rolled bundles and who signed them",
    )
    key_commands = commands.add_parser(
        "keys", help="manage partners' keys"
    ).add_subparsers(required=True)
    generate = _add_command(
        key_commands, "generate", run_generate, "write a new private key"
    )
    generate.add_argument("--out", required=True, metavar="FILE")
    dump = _add_command(
        commands, "dump", run_dump, "show the state of a process"
    )
    dump.add_argument(
        "address",
        type=parse_address_argument,
        help="admin address of the process, IP:port",
    )
    explain = _add_command(
        commands,
        "explain",
        run_explain,
        "show the decisions taken for a request",
    )
    explain.add_argument(
        "address",
        type=parse_address_argument,
        help="admin address of the process, IP:port",
    )
    explain.add_argument("request_id")
    trace = _add_command(
        commands,
        "trace",
        run_trace,
        "show the log lines about an id and the state changes around them",
    )
    trace.add_argument("id", help="id of a request, submission or item")
    trace.add_argument("files", nargs="+", metavar="FILE")
    return parser


def _add_bundle_commands(commands: argparse._SubParsersAction) -> None:
    """Add the `bundle` subcommands."""
    bundle = commands.add_parser(
        "bundle", help="propose, sign and roll bundles"
    ).add_subparsers(required=True)
    check = _add_command(bundle, "check", run_check, "validate a bundle file")
    check.add_argument("file")
    propose = _add_command(
        bundle, "propose", run_propose, "propose a bundle file"
    )
    propose.add_argument("file")
    sign = _add_command(
        bundle, "sign", run_sign, "sign a proposal for a partner"
    )
    sign.add_argument("digest")
    sign.add_argument("--partner", required=True)
    sign.add_argument("--key", required=True, metavar="FILE")
    roll = _add_command(bundle, "roll", run_roll, "roll a signed proposal")
    roll.add_argument("digest")
    roll.add_argument(
        "--timeout",
        type=float,
        default=const.DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="how long to retry an unknown outcome (default %(default)s)",
    )
    _add_command(
        bundle, "status", run_status, "show the bundle version of each process"
    )


def _add_config_commands(commands: argparse._SubParsersAction) -> None:
    """Add the `config` subcommands."""
    config = commands.add_parser(
        "config", help="check configurations before they are sent"
    ).add_subparsers(required=True)
    check = _add_command(
        config,
        "check",
        run_config_check,
        "check a configuration or a bundle; compare it with the one in force",
    )
    check.add_argument("file")
    others = check.add_mutually_exclusive_group()
    others.add_argument(
        "--against", metavar="FILE", help="the configuration in force"
    )
    others.add_argument(
        "--store",
        type=parse_address_argument,
        metavar="IP:PORT",
        help="the platform's store, which has the one in force",
    )
    check.add_argument("--format", choices=("text", "json"), default="text")
    check.add_argument(
        "--strict", action="store_true", help="exit with 1 for warnings"
    )


def _add_command(
    commands: argparse._SubParsersAction,
    name: str,
    run: Command,
    text: str,
) -> argparse.ArgumentParser:
    """Add a subcommand that calls `run`; return its parser."""
    parser = commands.add_parser(name, help=text, description=text)
    parser.set_defaults(run=run)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return the exit status."""
    options = make_parser().parse_args(arguments)
    report = trio.run(options.run, options)
    return print_report(report, options.json)


if __name__ == "__main__":
    sys.exit(main())
