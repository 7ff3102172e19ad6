"""Errors of the HTTP adapters."""


class HttpError(Exception):
    """Tell that an exchange failed."""


class ConnectError(HttpError):
    """Tell that no connection was made: nothing was sent."""


class LostError(HttpError):
    """Tell that the connection ended before the answer was whole."""
