"""Constants of forwarding."""

from typing import Final

SERVER_ERRORS: Final = range(500, 600)
# A hedged attempt starts after this share of the route's target latency
# without a response, but no earlier than the minimum delay.
HEDGE_DELAY_SHARE: Final = 0.6
HEDGE_MIN_DELAY_S: Final = 0.06
# An instance ends a call by itself when the time it was given is over, so
# attempts that are still open are cancelled only after this grace.
ATTEMPT_GRACE_S: Final = 0.3
# A failed instance is avoided with exponential backoff.
AVOID_INITIAL_S: Final = 0.5
AVOID_MAX_S: Final = 2.0
# A new connection is worth this share of a call's expected cost, and at least
# these seconds: an instance without one is used when a call ends that much
# sooner there.
CONNECTION_COST_SHARE: Final = 0.6
CONNECTION_COST_S: Final = 0.005
# Instances where a call ends within this share of its cost after the soonest
# are equal: gateways with the same news would all choose the first one.
NEAR_EQUAL_SHARE: Final = 0.1
# Wait at an instance whose slots are nearly all taken, as a share of the usual
# cost; it lowers the mean duration by 3 % at 75 % of what there is.
LOAD_COST_SHARE: Final = 0.5
# After this time a load report counts for a third. Instances that turn slow
# stay so for 0.6 s.
LOAD_NEWS_S: Final = 0.6
# Likewise for how much longer calls took than expected: one that is slow
# for good is tried again every few seconds.
SLOWNESS_S: Final = 2.0
# Bound of a reported pace, and of its inverse.
MAX_PACE: Final = 100.0
# Logarithm by which a single call counts as slower or faster at most.
MAX_SLOWNESS: Final = 1.0
# Of the cost of a call that takes longer than expected.
LEAST_REMAINING_SHARE: Final = 0.3
DEFAULT_DURATION_S: Final = 0.02
# Consecutive mild failures after which an instance is avoided as well.
MILD_FAILURES_TO_AVOID: Final = 3
# Weight of the newest duration in the moving average.
DURATION_WEIGHT: Final = 0.2
# A call that no instance accepted is refused after this share of its time.
REFUSE_AFTER_SHARE: Final = 0.6
RETRY_DELAY_S: Final = 0.03
# A call waits for permits of instances with a limit for this share of its
# route's target latency; the rest is for its run.
PERMIT_WAIT_SHARE: Final = 0.3
# An older load report is ignored; only this gateway's own calls count then.
LOAD_MAX_AGE_S: Final = 0.5
RETRY_AFTER_S: Final = 0.1
# After this many refusals, instances that were tried may be tried again.
MAX_REFUSALS: Final = 8
# Callers abandon a stream after a gap of two seconds; one that ends sooner
# can still be resumed through another gateway.
RESUME_PATIENCE_S: Final = 1.5
# An instance that may have restarted is asked again after this long.
LIFETIME_RETRY_DELAY_S: Final = 0.3
# Instances whose software version could not be recorded, for one stream.
MAX_UNRECORDED_ATTEMPTS: Final = 2
# An instance that sends nothing for this long, for this many times as long as
# usual, and for this many spreads more, hangs. Samplers send an event every
# 35 to 150 ms.
MIN_SILENCE_S: Final = 1.2
MIN_SILENCE_FACTOR: Final = 4.0
SILENCE_SPREADS: Final = 6.0
