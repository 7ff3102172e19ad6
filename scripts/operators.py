"""Operators' tasks done with pistachioctl: generate keys, roll a bundle."""

from base64 import b64decode
import json
from pathlib import Path
import subprocess
import sys
from typing import Any

from pistachiospar.bundle.signing import derive_public_key

from deployment import Deployment


def run_ctl(*arguments: str) -> tuple[int, Any]:
    """Run pistachioctl; return its exit status and JSON.

    Raises RuntimeError with its error output when it prints no JSON.
    """
    command = str(Path(sys.executable).parent / "pistachioctl")
    process = subprocess.run(
        [command, "--json", *arguments], capture_output=True, check=False
    )
    if not process.stdout:
        raise RuntimeError(process.stderr.decode())
    return process.returncode, json.loads(process.stdout)


def generate_keys(folder: Path, partners: list[str]) -> dict[str, str]:
    """Generate a key file for each partner; return the public keys."""
    folder.mkdir(parents=True, exist_ok=True)
    public_keys: dict[str, str] = {}
    for partner in partners:
        path = folder / f"{partner}.key"
        run_ctl("keys", "generate", "--out", str(path))
        public_keys[partner] = derive_public_key(b64decode(path.read_text()))
    return public_keys


def roll_bundle(deployment: Deployment, keys: Path, file: Path) -> Any:
    """Check, propose, sign and roll a bundle; return the roll's JSON.

    Raises RuntimeError with the JSON of a refused check or roll.
    """
    target = ("--key-value", deployment.key_value)
    status, findings = run_ctl("bundle", "check", str(file))
    if status:
        raise RuntimeError(findings)
    _, proposed = run_ctl(*target, "bundle", "propose", str(file))
    digest = proposed["digest"]
    for key in sorted(keys.glob("*.key")):
        sign = ("bundle", "sign", digest, "--partner", key.stem)
        run_ctl(*target, *sign, "--key", str(key))
    status, rolled = run_ctl(*target, "bundle", "roll", digest)
    if status:
        raise RuntimeError(rolled)
    return rolled
