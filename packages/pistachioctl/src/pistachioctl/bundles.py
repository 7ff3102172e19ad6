"""Commands on bundles."""

from base64 import b64decode
import binascii
from pathlib import Path
from random import Random
import time

from pistachiospar.adapters.etcd.client import EtcdKeyValue
from pistachiospar.adapters.http.address import parse_address
from pistachiospar.bundle.config import validate_bundle
from pistachiospar.bundle.models import Bundle
from pistachiospar.bundle.rolling import BundleRoller
from pistachiospar.bundle.rolling import RollConflict
from pistachiospar.bundle.rolling import Rolled
from pistachiospar.bundle.rolling import RollRefused
from pistachiospar.bundle.rolling import RollUnknown
from pistachiospar.helpers.findings import Findings
from pistachiospar.helpers.jsonc import read_document
from result import Err
from result import Result
import trio

from . import const
from .output import Report


def make_roller(key_value: str) -> BundleRoller:
    """Make a roller for the key-value service at `IP:port`."""
    return BundleRoller(EtcdKeyValue(parse_address(key_value)), Random())


def read_bundle(file: str) -> Result[Bundle, Findings]:
    """Read and validate a bundle file."""
    return read_document(file).and_then(validate_bundle)


def check_bundle(file: str) -> Report:
    """Validate a bundle file; report all findings."""
    bundle = read_bundle(file)
    if isinstance(bundle, Err):
        return report_findings(bundle.err_value, const.EXIT_BAD_INPUT)
    return Report([f"{file} is valid"], {"valid": True})


async def propose_bundle(roller: BundleRoller, file: str) -> Report:
    """Validate a bundle file and store it as a proposal."""
    bundle = read_bundle(file)
    if isinstance(bundle, Err):
        return report_findings(bundle.err_value, const.EXIT_BAD_INPUT)
    proposed = await roller.propose(bundle.ok_value)
    if isinstance(proposed, Err):
        return Report([proposed.err_value], status=const.EXIT_UNKNOWN)
    release = proposed.ok_value
    digest = release.compute_digest()
    lines = [f"proposed version {release.version}", digest]
    return Report(lines, {"version": release.version, "digest": digest})


async def sign_proposal(
    roller: BundleRoller, digest: str, partner: str, key_file: str
) -> Report:
    """Sign a proposal with the key in a base64 file."""
    try:
        private_key = b64decode(Path(key_file).read_text(), validate=True)
    except (OSError, binascii.Error) as error:
        return Report([f"{key_file}: {error}"], status=const.EXIT_BAD_INPUT)
    signed = await roller.sign(digest, partner, private_key)
    if isinstance(signed, Err):
        return Report([signed.err_value], status=const.EXIT_REFUSED)
    return Report([f"signed for {partner}"], {"partner": partner})


async def roll_proposal(
    roller: BundleRoller, digest: str, timeout_s: float
) -> Report:
    """Roll a proposal; retry an unknown outcome for `timeout_s`."""
    deadline = trio.current_time() + timeout_s
    outcome = await roller.roll(digest, time.time(), deadline)
    match outcome:
        case Rolled(version, digest):
            lines = [f"rolled version {version}"]
            return Report(lines, {"version": version, "digest": digest})
        case RollConflict(version, winner):
            line = f"not rolled: version {version} is already {winner}"
            data = {"winner_version": version, "winner_digest": winner}
            return Report([line], data, const.EXIT_REFUSED)
        case RollRefused(findings):
            return report_findings(findings, const.EXIT_REFUSED)
        case RollUnknown(detail):
            line = f"the outcome of the roll is unknown: {detail}"
            return Report([line], status=const.EXIT_UNKNOWN)


async def show_history(roller: BundleRoller) -> Report:
    """List the rolled bundles and who signed them."""
    listed = await roller.list_history()
    if isinstance(listed, Err):
        return Report([listed.err_value], status=const.EXIT_UNKNOWN)
    lines: list[str] = []
    data = []
    for envelope in listed.ok_value:
        release = envelope.release
        signers = sorted({s.partner for s in envelope.signatures})
        when = time.strftime(
            "%Y-%m-%d %H:%M:%S", time.gmtime(envelope.rolled_at_s)
        )
        lines.append(
            f"{release.version:6d}  {when}  {release.compute_digest()[:16]}  "
            f"epoch {release.epoch}  signed by {', '.join(signers)}"
        )
        data.append(
            {
                "version": release.version,
                "digest": release.compute_digest(),
                "epoch": release.epoch,
                "signed_by": signers,
                "rolled_at_s": envelope.rolled_at_s,
                "writer": envelope.writer,
            }
        )
    return Report(
        lines or ["no bundle has been rolled yet"], {"history": data}
    )


def report_findings(findings: Findings, status: int) -> Report:
    """Report all findings, one per line."""
    texts = [str(item) for item in findings.items]
    return Report(texts, {"findings": texts}, status)
