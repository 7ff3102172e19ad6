"""Port through which a gateway asks another one for permits."""

from enum import Enum
from typing import Protocol

from ..limits.messages import PermitCall
from ..limits.messages import PermitReply


class PeerFailure(Enum):
    """Why a gateway sent no reply.

    GONE: it runs no more, or can't reply. SILENT: it may serve others.
    """

    GONE = "gone"
    SILENT = "silent"


class PeerPermits(Protocol):
    """Client of the permits that other gateways keep."""

    async def acquire_permit(
        self, address: str, call: PermitCall
    ) -> PermitReply | PeerFailure:
        """Ask a gateway for a permit."""
