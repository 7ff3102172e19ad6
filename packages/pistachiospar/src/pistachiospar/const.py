"""Headers, outcomes, exit statuses and units shared by all modules."""

from typing import Final

HEADER_CALLER: Final = "pistachiospar-caller"
HEADER_TIMEOUT_MS: Final = "pistachiospar-timeout-ms"
HEADER_IDEMPOTENCY_KEY: Final = "idempotency-key"
HEADER_REQUEST_ID: Final = "pistachiospar-request-id"
HEADER_WEIGHT_VERSIONS: Final = "pistachiospar-weight-versions"
HEADER_OUTCOME: Final = "pistachiospar-outcome"

OUTCOME_DONE: Final = "done"
OUTCOME_NOT_RUN: Final = "not-run"
OUTCOME_UNKNOWN: Final = "unknown"

CONTENT_TYPE_JSON: Final = "application/json"
CONTENT_TYPE_PROBLEM: Final = "application/problem+json"

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_BAD_INPUT: Final = 2

KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * KIBIBYTE
MS_PER_S: Final = 1000.0
