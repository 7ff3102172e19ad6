"""The stored record of the software versions that served an upstream.

Pattern: all gateways are killed at once while one software version replaces
another. The list of instances then names only the versions of now; the record
names those that may have begun the streams that callers resume.
"""

from collections.abc import Collection

import msgspec

from . import const


class SoftwareRecord(msgspec.Struct, frozen=True):
    """The versions that served an upstream; times are Unix times.

    Versions from before `known_since_s` are not recorded; it is 0 when the
    deployment started with the record. `gone_at_s` has the time by which each
    version had left, 0 while it serves.
    """

    known_since_s: float
    gone_at_s: dict[str, float]


def add_versions(
    record: SoftwareRecord | None,
    serving: Collection[str],
    is_first_start: bool,
    now_s: float,
) -> SoftwareRecord:
    """Return a record in which all versions in `serving` serve."""
    if record is None:
        record = SoftwareRecord(0.0 if is_first_start else now_s, {})
    return SoftwareRecord(
        record.known_since_s, record.gone_at_s | dict.fromkeys(serving, 0.0)
    )


def remove_gone(
    record: SoftwareRecord, listed: Collection[str], now_s: float
) -> SoftwareRecord:
    """Return a record with the present versions marked, old ones dropped.

    A version is dropped once no caller resumes a stream that it began.
    """
    gone_at_s: dict[str, float] = {}
    for version, gone_at in record.gone_at_s.items():
        if version in listed:
            gone_at_s[version] = 0.0
        elif not gone_at:
            gone_at_s[version] = now_s
        elif now_s - gone_at <= const.RECORD_MEMORY_S:
            gone_at_s[version] = gone_at
    return SoftwareRecord(record.known_since_s, gone_at_s)


def is_complete(record: SoftwareRecord | None, now_s: float) -> bool:
    """Return whether a record has all versions that may have begun streams."""
    if record is None:
        return False
    age_s = now_s - record.known_since_s
    return record.known_since_s == 0.0 or age_s > const.RECORD_MEMORY_S
