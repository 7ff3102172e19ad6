"""Fingerprints of requests, by which one that comes again is recognised."""

from hashlib import blake2b

from . import const


def compute_fingerprint(
    host: str, method: str, target: str, identity: str, body: bytes
) -> str:
    """Return the same text for the same request of the same caller.

    `identity` names the caller. Ids and deadlines, which are new each time,
    don't count.
    """
    digest = blake2b(digest_size=const.FINGERPRINT_BYTES)
    for part in (host, method, target, identity):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, "big") + encoded)
    digest.update(body)
    return digest.hexdigest()
