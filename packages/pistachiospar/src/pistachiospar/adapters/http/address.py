"""Addresses of processes, as settings, entries and records have them."""

from dataclasses import dataclass
import re
import socket
from typing import Final

from .const import MAX_HOST_NAME_CHARACTERS
from .const import MAX_PORT
from .const import MAX_SHOWN_CHARACTERS


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port of a process."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`."""
        return f"{self.host}:{self.port}"


_HOST_LABEL: Final = "[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
_HOST_NAME_PATTERN: Final = re.compile(rf"{_HOST_LABEL}(\.{_HOST_LABEL})*\.?")
_PORT_PATTERN: Final = re.compile("[0-9]{1,5}")


def parse_address(text: str) -> Address:
    """Parse `host:port` with an IP address or a host name as the host.

    Raises ValueError. An IPv6 address may be in brackets.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    if not _is_ip_address(host) and (
        len(host) > MAX_HOST_NAME_CHARACTERS
        or not _HOST_NAME_PATTERN.fullmatch(host)
    ):
        raise ValueError(f"{text[:MAX_SHOWN_CHARACTERS]!r} has no valid host")
    if not _PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f"{text[:MAX_SHOWN_CHARACTERS]!r} has no valid port")
    return Address(host, int(port))


def _is_ip_address(host: str) -> bool:
    """Return whether a host is an IPv4 or IPv6 address."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except (OSError, ValueError):
            continue
        return True
    return False
