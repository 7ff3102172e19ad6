"""TCP proxy between a gateway and the store, with faults."""

from dataclasses import dataclass
from dataclasses import field

from pistachiospar.adapters.http.address import Address
import trio


@dataclass(slots=True)
class ProxyFaults:
    """Faults of a proxy, applied to all its connections."""

    refusing: bool = False
    stalled: bool = False
    delay_s: float = 0.0
    connection_scopes: set[trio.CancelScope] = field(default_factory=set)

    def reset_connections(self) -> None:
        """Close all open connections."""
        for scope in list(self.connection_scopes):
            scope.cancel()


class StoreProxy:
    """TCP proxy between a gateway and the store."""

    def __init__(self, target: Address, faults: ProxyFaults) -> None:
        """Forward to the target address under these faults."""
        self._target = target
        self._faults = faults

    async def handle(self, stream: trio.SocketStream) -> None:
        """Forward one connection until either side closes it."""
        with trio.CancelScope() as scope:
            self._faults.connection_scopes.add(scope)
            try:
                if not self._faults.refusing:
                    await self._forward_connection(stream)
            finally:
                self._faults.connection_scopes.discard(scope)
        stream.socket.close()

    async def _forward_connection(self, stream: trio.SocketStream) -> None:
        store_stream = await trio.open_tcp_stream(
            self._target.host, self._target.port
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward_bytes, stream, store_stream, nursery
                )
                nursery.start_soon(
                    self._forward_bytes, store_stream, stream, nursery
                )
        finally:
            store_stream.socket.close()

    async def _forward_bytes(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        """Forward one direction; its end cancels the other one."""
        try:
            async for data in source:
                while self._faults.stalled:
                    await trio.sleep(0.05)
                if self._faults.delay_s:
                    await trio.sleep(self._faults.delay_s)
                await destination.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()
