"""Name the durations that authority rests on, in seconds."""

from cranberryrill.replication import timing as replication_timing

# A message to the platform is answered within this time, or broken off; the
# lease must cover all of it when the message is sent.
SEND_TIMEOUT_SECONDS = 0.5
# Bytes that the kernel could not deliver are dropped after this time, also
# while the process is frozen.
TCP_USER_TIMEOUT_SECONDS = 0.4
# A new holder sends nothing for this long: by then the lease of the one
# before has run out, and with it whatever that one had on its way.
QUIET_PERIOD_SECONDS = (
    replication_timing.LEADER_LEASE + SEND_TIMEOUT_SECONDS
) * (1 + replication_timing.CLOCK_DRIFT)
POLL_PERIOD_SECONDS = 0.1
MIN_RETRY_DELAY_SECONDS = 0.2
MAX_RETRY_DELAY_SECONDS = 2.0
# Demand is weighed anew this often.
PLAN_PERIOD_SECONDS = 0.5
# An agent is asked again to drain this often.
DRAIN_RETRY_PERIOD_SECONDS = 1.0
DRAIN_TIMEOUT_SECONDS = 1.0
# A stopping holder waits this long for the order that is on its way.
STOP_TIMEOUT_SECONDS = 3.0
# An agent passes one order to its engine within this time.
ENGINE_ORDER_TIMEOUT_SECONDS = 2.0
