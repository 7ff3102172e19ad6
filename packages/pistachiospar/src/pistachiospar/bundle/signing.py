"""Keys and signatures of partners: Ed25519 over a release's digest."""

from base64 import b64decode
from base64 import b64encode
import binascii

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from result import Err
from result import Ok
from result import Result

from ..helpers.findings import Findings
from .models import Envelope
from .models import Release
from .models import Signature


def generate_private_key() -> bytes:
    """Generate a private key of 32 bytes."""
    return Ed25519PrivateKey.generate().private_bytes_raw()


def derive_public_key(private_key: bytes) -> str:
    """Derive the public key, in base64."""
    key = Ed25519PrivateKey.from_private_bytes(private_key)
    return b64encode(key.public_key().public_bytes_raw()).decode("ascii")


def sign_digest(digest: str, partner: str, private_key: bytes) -> Signature:
    """Sign a digest for a partner."""
    key = Ed25519PrivateKey.from_private_bytes(private_key)
    signature = b64encode(key.sign(digest.encode())).decode("ascii")
    return Signature(partner, derive_public_key(private_key), signature)


def verify_signature(digest: str, signature: Signature) -> bool:
    """Return whether a signature matches the digest and its public key."""
    try:
        key = Ed25519PublicKey.from_public_bytes(
            b64decode(signature.public_key)
        )
        key.verify(b64decode(signature.signature), digest.encode())
    except (InvalidSignature, ValueError, binascii.Error):
        return False
    return True


def verify_envelope(
    envelope: Envelope, trusted: dict[str, str]
) -> Result[Release, Findings]:
    """Check that all trusted partners and all of the release's own signed.

    `trusted` maps the partners of the previous version to public keys.
    """
    release = envelope.release
    digest = release.compute_digest()
    signed = {
        (signature.partner, signature.public_key)
        for signature in envelope.signatures
        if verify_signature(digest, signature)
    }
    findings = Findings()
    required = {**release.bundle.get_public_keys()}.items() | trusted.items()
    for partner, public_key in sorted(required):
        if (partner, public_key) not in signed:
            message = f"not signed by {partner!r} with key {public_key}"
            findings.add(digest, "signatures", 1, message)
    if findings:
        return Err(findings)
    return Ok(release)
