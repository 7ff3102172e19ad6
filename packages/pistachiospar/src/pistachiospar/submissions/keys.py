"""Support the keys under which submissions and results are kept."""

from urllib.parse import quote
from urllib.parse import unquote

from . import const


def make_submission_key(submission: str) -> str:
    """Return the key of a submission's record."""
    return const.PREFIX_SUBMISSIONS + quote(submission, safe="")


def make_part_key(submission: str, part: int) -> str:
    """Return the key of a part of a submission's record."""
    return f"{make_parts_prefix(submission)}{part:03d}"


def make_parts_prefix(submission: str) -> str:
    """Return the prefix of the parts of a submission's record."""
    return f"{const.PREFIX_PARTS}{quote(submission, safe='')}/"


def make_end_key(submission: str) -> str:
    """Return the key that marks a submission as ended."""
    return make_submission_key(submission) + const.SUFFIX_END


def make_results_prefix(submission: str) -> str:
    """Return the prefix of a submission's results."""
    return f"{const.PREFIX_RESULTS}{quote(submission, safe='')}/"


def make_results_key(submission: str, position: int) -> str:
    """Return the key of the results that begin at a position."""
    return f"{make_results_prefix(submission)}{position:06d}"


def read_position(key: str) -> int:
    """Return the position at which a key's results begin."""
    return int(key.rpartition("/")[2])


def read_submission_key(key: str) -> tuple[str, str]:
    """Return the submission's id and what follows it, if anything."""
    name, slash, rest = key.removeprefix(const.PREFIX_SUBMISSIONS).partition(
        "/"
    )
    return unquote(name), slash + rest
