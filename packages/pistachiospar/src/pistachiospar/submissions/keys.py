"""Key-value keys of submission records and results."""

from urllib.parse import quote
from urllib.parse import unquote

from . import const


def make_submission_key(submission: str) -> str:
    """Return the key of a submission's head, with its id percent-encoded."""
    return const.PREFIX_SUBMISSIONS + quote(submission, safe="")


def make_part_key(submission: str, part: int) -> str:
    """Return the key of one part of a submission's record, from 0."""
    return f"{make_parts_prefix(submission)}{part:03d}"


def make_parts_prefix(submission: str) -> str:
    """Return the prefix of the parts of a submission's record."""
    return f"{const.PREFIX_PARTS}{quote(submission, safe='')}/"


def make_end_key(submission: str) -> str:
    """Return the key that marks a submission as ended."""
    return make_submission_key(submission) + const.SUFFIX_END


def make_owner_key(submission: str) -> str:
    """Return the key of a submission's owner, once it isn't the first one."""
    return make_submission_key(submission) + const.SUFFIX_OWNER


def make_results_prefix(submission: str) -> str:
    """Return the prefix of a submission's results."""
    return f"{const.PREFIX_RESULTS}{quote(submission, safe='')}/"


def make_results_key(submission: str, position: int) -> str:
    """Return the key of the results that begin at a position."""
    return f"{make_results_prefix(submission)}{position:06d}"


def measure_longest_key(submission: str) -> int:
    """Return the bytes of the longest key of a submission."""
    keys = (
        make_part_key(submission, 0),
        make_owner_key(submission),
        make_end_key(submission),
        make_results_key(submission, 0),
    )
    return max(len(key.encode()) for key in keys)


def parse_position(key: str) -> int:
    """Return the position of the first result stored under a key."""
    return int(key.rpartition("/")[2])


def parse_submission_key(key: str) -> tuple[str, str]:
    """Return the submission id and the rest of the key, e.g. SUFFIX_END."""
    name, slash, rest = key.removeprefix(const.PREFIX_SUBMISSIONS).partition(
        "/"
    )
    return unquote(name), slash + rest
