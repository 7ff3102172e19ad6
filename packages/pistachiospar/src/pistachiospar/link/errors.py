"""Errors of the link."""


class LinkError(Exception):
    """Failure of a request over a link."""


class LinkNotSentError(LinkError):
    """Failure of an order that did not reach the sidecar; it was not run."""


class LinkLostError(LinkError):
    """Failure of a link after sending; the order may have been run."""
