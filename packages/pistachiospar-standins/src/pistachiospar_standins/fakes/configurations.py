"""Parts of the configurations of a fleet of gateways."""


def make_route(
    host: str, name: str, prefix: str, kind: str, upstream: str
) -> dict[str, object]:
    """Return one route of the configuration, as JSON values."""
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 3,
        "service": upstream,
    }
