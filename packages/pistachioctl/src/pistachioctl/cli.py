"""Support the command line of `pistachioctl`."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import sys

from pistachiospar import __version__
from pistachiospar.adapters.http.client import parse_address
import trio

from . import bundles
from . import const
from . import keys
from . import processes
from . import traces
from .output import print_report
from .output import Report

Command = Callable[[argparse.Namespace], Awaitable[Report]]


def check_address(text: str) -> str:
    """Refuse what is not IP:port."""
    try:
        parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError("not IP:port") from error
    return text


async def run_check(options: argparse.Namespace) -> Report:
    """Run `bundle check`."""
    return bundles.check(options.file)


async def run_propose(options: argparse.Namespace) -> Report:
    """Run `bundle propose`."""
    roller = bundles.make_roller(options.key_value)
    return await bundles.propose(roller, options.file)


async def run_sign(options: argparse.Namespace) -> Report:
    """Run `bundle sign`."""
    roller = bundles.make_roller(options.key_value)
    return await bundles.sign(
        roller, options.digest, options.partner, options.key
    )


async def run_roll(options: argparse.Namespace) -> Report:
    """Run `bundle roll`."""
    roller = bundles.make_roller(options.key_value)
    return await bundles.roll(roller, options.digest, options.timeout)


async def run_status(options: argparse.Namespace) -> Report:
    """Run `bundle status`."""
    return await processes.show_status(options.key_value)


async def run_history(options: argparse.Namespace) -> Report:
    """Run `history`."""
    return await bundles.show_history(bundles.make_roller(options.key_value))


async def run_generate(options: argparse.Namespace) -> Report:
    """Run `keys generate`."""
    return keys.generate(options.out)


async def run_dump(options: argparse.Namespace) -> Report:
    """Run `dump`."""
    return await processes.dump(options.address)


async def run_explain(options: argparse.Namespace) -> Report:
    """Run `explain`."""
    return await processes.explain(options.address, options.request_id)


async def run_trace(options: argparse.Namespace) -> Report:
    """Run `trace`."""
    return traces.trace(options.id, options.files)


def make_parser() -> argparse.ArgumentParser:
    """Make the parser."""
    parser = argparse.ArgumentParser(
        prog="pistachioctl",
        description="Operate a pistachiospar rollout service.",
        epilog=const.EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--json", action="store_true", help="print JSON for programs"
    )
    parser.add_argument(
        "--key-value",
        type=check_address,
        default="127.0.0.1:2379",
        metavar="IP:PORT",
        help="the platform's key-value service (default %(default)s)",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_bundle_commands(commands)
    _add(commands, "history", run_history, "show who signed and rolled what")
    key_commands = commands.add_parser(
        "keys", help="handle partners' keys"
    ).add_subparsers(required=True)
    generate = _add(
        key_commands, "generate", run_generate, "write a new private key"
    )
    generate.add_argument("--out", required=True, metavar="FILE")
    dump = _add(commands, "dump", run_dump, "show the state of a process")
    dump.add_argument("address", type=check_address, help="its admin port")
    explain = _add(
        commands, "explain", run_explain, "show what a request met with"
    )
    explain.add_argument("address", type=check_address, help="an admin port")
    explain.add_argument("request_id")
    trace = _add(
        commands, "trace", run_trace, "walk logs from an id to its cause"
    )
    trace.add_argument("id", help="of a request, submission or item")
    trace.add_argument("files", nargs="+", metavar="FILE")
    return parser


def _add_bundle_commands(commands: argparse._SubParsersAction) -> None:
    """Add the commands on bundles."""
    bundle = commands.add_parser(
        "bundle", help="propose, sign and roll bundles"
    ).add_subparsers(required=True)
    check = _add(bundle, "check", run_check, "check a bundle file")
    check.add_argument("file")
    propose = _add(bundle, "propose", run_propose, "propose a bundle file")
    propose.add_argument("file")
    sign = _add(bundle, "sign", run_sign, "sign a proposal for a partner")
    sign.add_argument("digest")
    sign.add_argument("--partner", required=True)
    sign.add_argument("--key", required=True, metavar="FILE")
    roll = _add(bundle, "roll", run_roll, "roll a signed proposal")
    roll.add_argument("digest")
    roll.add_argument(
        "--timeout",
        type=float,
        default=const.DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="how long to ask for a certain outcome (default %(default)s)",
    )
    _add(bundle, "status", run_status, "show the version at each process")


def _add(
    commands: argparse._SubParsersAction,
    name: str,
    run: Command,
    text: str,
) -> argparse.ArgumentParser:
    """Add one command."""
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
