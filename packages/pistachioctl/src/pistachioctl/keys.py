"""Commands on partners' keys."""

from base64 import b64encode
import os

from pistachiospar.bundle.signing import derive_public_key
from pistachiospar.bundle.signing import generate_private_key

from . import const
from .output import Report


def generate_key_file(file: str) -> Report:
    """Write a new private key; refuse to overwrite a file."""
    private_key = generate_private_key()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(file, flags, const.KEY_FILE_MODE), "w") as out:
            out.write(b64encode(private_key).decode("ascii"))
    except OSError as error:
        return Report([str(error)], status=const.EXIT_BAD_INPUT)
    public_key = derive_public_key(private_key)
    lines = [f"private key written to {file}", f"public key {public_key}"]
    return Report(lines, {"public_key": public_key, "file": file})
