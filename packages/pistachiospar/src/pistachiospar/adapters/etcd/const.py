"""Paths and timeouts of etcd's JSON gateway."""

from typing import Final

PATH_RANGE: Final = "/v3/kv/range"
PATH_PUT: Final = "/v3/kv/put"
PATH_TXN: Final = "/v3/kv/txn"
PATH_GRANT: Final = "/v3/lease/grant"
PATH_KEEP_ALIVE: Final = "/v3/lease/keepalive"
PATH_REVOKE: Final = "/v3/lease/revoke"
PATH_WATCH: Final = "/v3/watch"

CALL_TIMEOUT_S: Final = 2.0
WATCH_IDLE_TIMEOUT_S: Final = 10.0
