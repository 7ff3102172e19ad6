"""Run `pistachiospard` from the source tree, without installing it.

With `--listen HOST:PORT` the port of a gateway is opened before the imports,
which take most of a start: a caller that connects meanwhile waits instead of
being reset. The gateway accepts and serves it as soon as it can.
"""

import gc
import os.path
import signal
import socket
import sys

LISTEN_OPTION = "--listen"
LISTEN_BACKLOG = 1024


def open_listener(address: str) -> int:
    """Listen on HOST:PORT; return the descriptor. Raises OSError."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    return listener.detach()


def replace_address(arguments: list[str]) -> list[str]:
    """Open the address of `--listen`; pass on its descriptor instead.

    An address that is empty or in use is left to the gateway, which reports
    what is wrong with its settings.
    """
    if LISTEN_OPTION not in arguments:
        return arguments
    index = arguments.index(LISTEN_OPTION)
    others = arguments[:index] + arguments[index + 2 :]
    try:
        descriptor = open_listener("".join(arguments[index + 1 : index + 2]))
    except (OSError, ValueError) as error:
        print(f"launch: {LISTEN_OPTION}: {error}", file=sys.stderr)
        return others
    return [*others, "--listen-descriptor", str(descriptor)]


def run(arguments: list[str]) -> int:
    """Run the command line; return the exit status."""
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    source = os.path.join(root, "packages", "pistachiospar", "src")
    sys.path.insert(0, source)
    if arguments[:1] == ["gateway"]:
        # Nearly all that its imports allocate stays; it enables it again.
        gc.disable()
    from pistachiospar.cli import main

    return main(arguments)


if __name__ == "__main__":
    # The gateway receives it once its own handler is there.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(run(replace_address(sys.argv[1:])))
