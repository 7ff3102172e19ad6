"""Command line: `python -m pistachiospar_standins kv|instances|...`."""

import argparse
import sys
from typing import Any

import msgspec
from pistachiospar.adapters.http.address import parse_address
from pistachiospar.adapters.http.server import HttpServer
from pistachiospar.const import EXIT_BAD_INPUT
from pistachiospar.helpers.jsonc import read_document
from pistachiospar.process.listening import serve_http
from pistachiospar.process.listening import watch_stop
from result import Err
import trio

from .engine.server import EngineHandler
from .engine.server import EngineSettings
from .instances.server import InstancesHandler
from .instances.server import InstancesSettings
from .kv.server import KvHandler
from .kv.server import KvSettings
from .service.server import ServiceHandler
from .service.server import ServiceSettings
from .serving.models import Handler
from .weights.server import WeightsHandler
from .weights.server import WeightsSettings


def make_handler(kind: str, values: dict[str, Any]) -> Handler:
    """Return the handler of a stand-in; raises ValidationError."""
    match kind:
        case "kv":
            return KvHandler(msgspec.convert(values, KvSettings)).handle
        case "instances":
            instances = msgspec.convert(values, InstancesSettings)
            return InstancesHandler(instances).handle
        case "weights":
            weights = msgspec.convert(values, WeightsSettings)
            return WeightsHandler(weights).handle
        case "engine":
            engine = msgspec.convert(values, EngineSettings)
            return EngineHandler(engine).handle
        case _:
            service = msgspec.convert(values, ServiceSettings)
            return ServiceHandler(service).handle


def main() -> int:
    """Run one stand-in until it is stopped; return the exit status."""
    parser = argparse.ArgumentParser(prog="pistachiospar_standins")
    parser.add_argument(
        "kind", choices=["kv", "instances", "weights", "engine", "service"]
    )
    parser.add_argument("--listen", required=True, metavar="IP:PORT")
    parser.add_argument(
        "--settings", metavar="FILE", help="faults and sizes, JSON"
    )
    options = parser.parse_args()
    values: dict[str, Any] = {}
    if options.settings:
        document = read_document(options.settings)
        if isinstance(document, Err):
            print(document.err_value, file=sys.stderr)
            return EXIT_BAD_INPUT
        values = document.ok_value.value
    try:
        handler = make_handler(options.kind, values)
    except msgspec.ValidationError as error:
        print(f"{options.settings}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    trio.run(serve, handler, options.listen)
    return 0


async def serve(handler: Handler, address: str) -> None:
    """Serve until a stop signal arrives."""
    server = HttpServer(handler)
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(watch_stop, stopped)
        await nursery.start(serve_http, server, parse_address(address))
        await stopped.wait()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(main())
