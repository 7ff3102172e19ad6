"""Paths, keys, header names and timeouts of the users' platform."""

from typing import Final

SETTINGS_VARIABLE: Final = "PISTACHIOSPAR_NODE_FILE"
SETTINGS_FILE: Final = "/etc/pistachiospar/node.yaml"

# Key-value service
PATH_KEY: Final = "/kv-key"
PATH_RANGE: Final = "/kv-range"
PATH_WATCH: Final = "/kv-watch"
PATH_TXN: Final = "/kv-txn"
PATH_LEASE_GRANT: Final = "/kv-lease"
PATH_LEASE_RENEW: Final = "/kv-keep"
PATH_LEASE_REVOKE: Final = "/kv-lease-end"
KEY_CONFIG: Final = "op/config"
PREFIX_OPERATOR: Final = "op/"
PREFIX_VERSIONS: Final = "op/version/"
PREFIX_RETIRE: Final = "op/retire/"
PREFIX_RETIRE_STATUS: Final = "status/retire/"
PREFIX_INSTANCES: Final = "servers/"
# A watch without a response this long after its wait counts as lost.
WATCH_EXTRA_TIMEOUT_S: Final = 1.2
# A response takes 4 ms, and 100 times as long on the slowest days.
CALL_TIMEOUT_S: Final = 1.4
CONNECT_TIMEOUT_S: Final = 0.5

# Callers
PATH_READY: Final = "/readyz"
PATH_LOTS: Final = "/lots/"
PATH_ITEMS: Final = "/items/"
HEADER_REQUEST_ID: Final = "request-id"
HEADER_DEADLINE_MS: Final = "deadline-ms"
HEADER_WAIT_MS: Final = "wait-ms"
HEADER_RESUMES: Final = "resumes"
HEADER_AUTHORIZATION: Final = "authorization"
HEADER_API_KEY: Final = "api-key"
HEADER_TENANT: Final = "tenant"
CALLER_HEADERS: Final = (HEADER_AUTHORIZATION, HEADER_API_KEY, HEADER_TENANT)

# Samplers
PATH_REPORT: Final = "/report"
PATH_ORDER: Final = "/order"
HEADER_EXPECT_INSTANCE: Final = "Expect-Instance"
HEADER_EXPECT_VERSION: Final = "Expect-Version"
HEADER_WEIGHT_VERSIONS: Final = "weight-versions"
HEADER_NOT_EXECUTED: Final = "not-executed"
HEADER_SERVER_LEAVING: Final = "server-leaving"
LEAVING: Final = "1"
HEADER_SERVER_LIMIT: Final = "server-limit"
HEADER_INSTANCE_LOAD: Final = "instance-load"
# The pace in a load report of an instance where work takes its usual time.
USUAL_PACE: Final = 100.0
HEADER_CONTENT_ENCODING: Final = "content-encoding"
MEDIA_TYPE_EVENTS: Final = "text/event-stream"
HEADER_RESPONSE_STAMP: Final = "response-stamp"
HEADER_LAST_EVENT_ID: Final = "Last-Event-Id"
MAX_EVENT_NUMBER_DIGITS: Final = 18
MAX_REQUEST_ID_CHARACTERS: Final = 128
HEADER_REQUEST_PRIORITY: Final = "Request-Priority"

# Duties
PATH_USAGE: Final = "/usage"
PATH_SCALE: Final = "/scale"
HEADER_DUTY_HOLDER: Final = "Duty-Holder"
HEADER_FENCE_TOKEN: Final = "Fence-Token"
