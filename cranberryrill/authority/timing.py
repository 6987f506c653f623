"""Timeouts and periods of the authority protocol, in seconds."""

from cranberryrill.replication import timing as replication_timing

# A message to the platform is answered or aborted within this time. The
# leader lease must cover all of it when the message is sent.
SEND_TIMEOUT_SECONDS = 0.5
# The kernel drops bytes that it could not deliver after this time, even while
# the process is suspended.
TCP_USER_TIMEOUT_SECONDS = 0.4
# A new holder of authority sends nothing for this long. By then the previous
# holder's lease has expired, and no message of that holder is still in flight.
QUIET_PERIOD_SECONDS = (
    replication_timing.LEADER_LEASE_SECONDS + SEND_TIMEOUT_SECONDS
) * (1 + replication_timing.CLOCK_DRIFT_SHARE)
POLL_PERIOD_SECONDS = 0.1
MIN_RETRY_DELAY_SECONDS = 0.2
MAX_RETRY_DELAY_SECONDS = 2.0
# Interval between two plans of which upstreams to start and stop.
PLAN_PERIOD_SECONDS = 0.5
# An agent that does not announce that it is leaving gets another drain order
# after this time.
DRAIN_RETRY_PERIOD_SECONDS = 1.0
DRAIN_TIMEOUT_SECONDS = 1.0
# A holder that stops waits this long for an answer to the order in flight.
STOP_TIMEOUT_SECONDS = 3.0
# Limit on one order from an agent to its engine.
ENGINE_ORDER_TIMEOUT_SECONDS = 2.0
