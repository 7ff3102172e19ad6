"""Constants of the users' platform: paths, keys and header names."""

from typing import Final

SETTINGS_VARIABLE: Final = "PISTACHIOSPAR_NODE_FILE"
SETTINGS_FILE: Final = "/etc/pistachiospar/node.yaml"

# Key-value service.
PATH_KEY: Final = "/kv-key"
PATH_RANGE: Final = "/kv-range"
PATH_WATCH: Final = "/kv-watch"
PATH_TXN: Final = "/kv-txn"
PATH_LEASE: Final = "/kv-lease"
PATH_KEEP: Final = "/kv-keep"
PATH_LEASE_END: Final = "/kv-lease-end"
KEY_CONFIG: Final = "op/config"
PREFIX_OPERATOR: Final = "op/"
PREFIX_VERSIONS: Final = "op/version/"
PREFIX_RETIRE: Final = "op/retire/"
PREFIX_RETIRE_STATUS: Final = "status/retire/"
PREFIX_INSTANCES: Final = "servers/"
# A waiting watch that is not answered so long after its time is lost.
WATCH_SLACK_S: Final = 1.2
# 4 ms an answer; the slowest days have it 100 times as slow.
CALL_TIMEOUT_S: Final = 1.4
CONNECT_TIMEOUT_S: Final = 0.5

# Callers.
PATH_READY: Final = "/readyz"
PATH_LOTS: Final = "/lots/"
PATH_ITEMS: Final = "/items/"
HEADER_ID: Final = "request-id"
HEADER_DEADLINE: Final = "deadline-ms"
HEADER_WAIT: Final = "wait-ms"

# Samplers.
PATH_REPORT: Final = "/report"
PATH_ORDER: Final = "/order"
HEADER_INSTANCE: Final = "Expect-Instance"
HEADER_EXPECT_VERSION: Final = "Expect-Version"
HEADER_VERSIONS: Final = "weight-versions"
HEADER_NOT_RUN: Final = "not-executed"
HEADER_LOAD: Final = "instance-load"
HEADER_STAMP: Final = "response-stamp"
HEADER_LAST_EVENT: Final = "Last-Event-Id"
HEADER_PRIORITY: Final = "Request-Priority"
