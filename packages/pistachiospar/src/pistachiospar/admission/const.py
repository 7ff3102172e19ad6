"""Constants of the admission of plain calls."""

from typing import Final

# Calls that wait at an instance for each of its slots. More would only move
# the waiting calls from here, where they are in order, to the instances.
QUEUE_PER_SLOT: Final = 0.5
# An instance that rejects a call gets none for as long as a slot of its is
# expected to take, twice as long after each further rejection.
HOLD_MIN_S: Final = 0.03
HOLD_MAX_S: Final = 0.5
HOLD_JITTER: Final = 0.5
# An instance that rejected a call gets as many of ours at a time as it had
# then, and one more for so long without a rejection. Growth by a whole call
# with each response had half of all offers rejected where no figures help.
WINDOW_RECOVERY_S: Final = 0.5
WINDOW_GROWTH: Final = 0.2
# Older figures of an instance are ignored.
FIGURES_MAX_AGE_S: Final = 0.5
# An upstream is under pressure for this long after a call waited for it.
PRESSURE_S: Final = 2.0
# Under pressure, an instance that answers none of its calls for this many
# times the usual duration gets no more, as long as others answer.
STALL_RATIO: Final = 1.5
STALL_MIN_S: Final = 0.15

# A second attempt under pressure takes a token; each first attempt earns a
# share of one. With 0.1 and the reserve of three gateways, a crowd of 1,800
# calls stays below 1.2 arrivals a call.
RETRY_SHARE: Final = 0.1
RETRY_REFILL_PER_S: Final = 1.0
RETRY_RESERVE: Final = 10.0
# Tokens that only calls that may have run take.
RETRY_KEPT: Final = 5.0

# Waiting calls of a gateway and the bytes of their bodies.
MAX_WAITING_CALLS: Final = 1000
MAX_WAITING_BYTES: Final = 32 * 1024 * 1024
# A call waits for at most this share of its time; the rest is for its run.
WAIT_SHARE: Final = 0.6
# A burst is served late rather than refused. Once calls have waited for this
# much longer than none did, new ones have to be expected on target, until
# that has fallen to the second figure. With a single figure, a queue that
# empties for a moment let the next burst in.
STANDING_S: Final = 0.5
STANDING_END_S: Final = 0.25
STANDING_MAX_S: Final = 1.0
# A call is expected on target up to this share of the target latency.
ON_TARGET_SHARE: Final = 0.8
# In a standing queue a call waits for this share of the target latency even
# where the run alone takes longer than the target.
MIN_WAIT_SHARE: Final = 0.25

# Refused callers are told to come back one after the other, up to this time.
MAX_PROMISE_S: Final = 10.0

# Waiting calls are offered on each response, and at this interval, since the
# time that an instance is held for runs out without a message.
POLL_INTERVAL_S: Final = 0.03
# Calls that can't be served in time any more are looked for at this interval,
# longer where many wait, since one look at 1,000 calls takes some 3 ms.
SWEEP_INTERVAL_S: Final = 0.06
SWEEP_PER_CALL_S: Final = 0.0002
