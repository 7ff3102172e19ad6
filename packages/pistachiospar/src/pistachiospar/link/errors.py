"""Errors of the link."""


class LinkError(Exception):
    """Tell that a link failed."""


class LinkNotSentError(LinkError):
    """Tell that the order certainly did not reach the sidecar."""


class LinkLostError(LinkError):
    """Tell that the link ended; the order may have been run."""
