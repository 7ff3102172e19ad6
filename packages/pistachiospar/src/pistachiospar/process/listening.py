"""Listening sockets and stop signals."""

import signal
import socket

import trio

from ..adapters.http.address import Address
from ..adapters.http.server import HttpServer
from ..telemetry.logs import log_event
from .const import LISTEN_BACKLOG


async def serve_http(
    server: HttpServer,
    address: Address,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP on an address until cancelled; raises OSError."""
    listeners = await trio.open_tcp_listeners(
        address.port, host=address.host, backlog=LISTEN_BACKLOG
    )
    task_status.started()
    await trio.serve_listeners(server.handle_connection, listeners)


async def serve_open_socket(server: HttpServer, descriptor: int) -> None:
    """Serve HTTP on a socket that listens already, until cancelled."""
    inherited = socket.socket(fileno=descriptor)
    inherited.setblocking(False)
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(inherited))
    await trio.serve_listeners(server.handle_connection, [listener])


async def watch_stop(
    stopped: trio.Event,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Set `stopped` on SIGTERM or SIGINT, until cancelled.

    Further ones are ignored: they would end a shutdown that is under way.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            if stopped.is_set():
                log_event("signal_ignored", number=number)
            stopped.set()
