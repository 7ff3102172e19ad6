"""Benchmark of a configuration with many organisations.

Measures how long the configuration takes to read and to prepare for peers,
what it occupies in memory, and what a call's key costs.
"""

from collections.abc import Callable
import time
import tracemalloc

import msgspec
from pistachiospar.organisations.decisions import authenticate
from pistachiospar.organisations.models import ConfigurationAge
from pistachiospar.organisations.models import KeyRefusal
from pistachiospar.organisations.models import KeyRules
from pistachiospar.platform.manifest import read_table
from pistachiospar.platform.organisations import conceal_keys
from pistachiospar.platform.organisations import KeyConcealer
from pistachiospar.platform.organisations import read_organisations

ORGANISATIONS = 10_000
KEYS_EACH = 2
LOOKUPS = 100_000
REPEATS = 9
IN_TOUCH = ConfigurationAge(0.1)


def make_key(organisation: int, number: int) -> str:
    """Return a key of usual length."""
    return f"sk-{organisation:08x}{number:08x}" + "0" * 16


def make_configuration() -> bytes:
    """Return a configuration with ORGANISATIONS organisations."""
    tenants = [
        {
            "name": f"org{number:05d}",
            "apiKeys": [make_key(number, k) for k in range(KEYS_EACH)],
            "priority": number % 9,
        }
        for number in range(ORGANISATIONS)
    ]
    route = {"name": "r", "host": "h", "prefix": "/", "service": "s"}
    return msgspec.json.encode(
        {
            "version": 1,
            "routes": [route],
            "services": [{"name": "s"}],
            "limits": {},
            "tenants": tenants,
        }
    )


def measure_lookup_us(encoded: bytes, keys: list[str]) -> float:
    """Return what the check of one call's key takes, in microseconds."""
    table = read_table(encoded).unwrap()
    route = table.find_route("h", "/x")
    headers = [[("Authorization", f"Bearer {key}")] for key in keys]
    refused = 0
    started = time.process_time()
    for number in range(LOOKUPS):
        found = authenticate(
            table, route, headers[number % len(headers)], IN_TOUCH, KeyRules()
        )
        refused += isinstance(found, KeyRefusal)
    took_s = time.process_time() - started
    assert refused in (0, LOOKUPS), refused
    return took_s / LOOKUPS * 1e6


def measure_median_ms(
    work: Callable[[bytes], object],
    value: bytes,
    prepare: Callable[[], object] = lambda: None,
) -> float:
    """Return the median CPU time of a function of a value.

    `prepare` is called before each time.
    """
    durations = []
    for _ in range(REPEATS):
        prepare()
        started = time.process_time()
        work(value)
        durations.append(time.process_time() - started)
    return sorted(durations)[REPEATS // 2] * 1e3


def main() -> None:
    """Print the results, one a line."""
    encoded = make_configuration()
    concealed = conceal_keys(encoded)
    tracemalloc.start()
    table = read_table(concealed).unwrap()
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    assert table.organisations is not None
    known = [make_key(n, 0) for n in range(0, ORGANISATIONS, 7)]
    unknown = [f"{key}x" for key in known]
    rows = {
        "configuration, MB": len(encoded) / 1e6,
        "passed on with digests, MB": len(concealed) / 1e6,
        "concealing a new list, ms": measure_median_ms(
            lambda value: KeyConcealer().conceal(value), encoded
        ),
        "concealing an equal list, ms": measure_median_ms(
            conceal_keys, encoded
        ),
        "reading a new list, ms": measure_median_ms(
            read_table, concealed, read_organisations.cache_clear
        ),
        "reading an equal list, ms": measure_median_ms(read_table, concealed),
        "memory of the table, MB": memory_mb,
        "known key, us": measure_lookup_us(concealed, known),
        "unknown key, us": measure_lookup_us(concealed, unknown),
    }
    for name, value in rows.items():
        print(f"{name}: {value:.2f}")


if __name__ == "__main__":
    main()
