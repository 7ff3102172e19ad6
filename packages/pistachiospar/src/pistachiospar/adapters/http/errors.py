"""Errors of the HTTP client and server."""


class HttpError(Exception):
    """Failure of an HTTP exchange."""


class ConnectError(HttpError):
    """Failure to open a connection; nothing was sent."""


class ConnectTimeoutError(ConnectError):
    """No reaction to the attempt to open a connection."""


class ResponseTooLargeError(HttpError):
    """A response exceeds what its reader takes; the rest was not read."""


class InvalidResponseError(HttpError):
    """A response whose status is none of HTTP's final ones."""


class ConnectionLostError(HttpError):
    """Loss of the connection before the response was complete."""


class UnsendableError(HttpError):
    """A request that HTTP can't carry; nothing was sent."""
