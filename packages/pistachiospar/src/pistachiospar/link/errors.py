"""Errors of the link."""


class LinkError(Exception):
    """A request over a link failed."""


class LinkNotSentError(LinkError):
    """The order did not reach the sidecar; it was certainly not run."""


class LinkLostError(LinkError):
    """The link failed after sending; the order may have been run."""
