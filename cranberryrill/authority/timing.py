"""Name the durations that authority rests on, in seconds."""

from cranberryrill.replication import timing as replication_timing

# A message to the platform is answered within this time, or broken off; the
# lease must cover all of it when the message is sent.
SEND_DEADLINE = 0.5
# Bytes that the kernel could not deliver are dropped after this time, also
# while the process is frozen.
KERNEL_TIMEOUT = 0.4
# A new holder sends nothing for this long: by then the lease of the one
# before has run out, and with it whatever that one had on its way.
QUIET_PERIOD = (replication_timing.LEADER_LEASE_SECONDS + SEND_DEADLINE) * (
    1 + replication_timing.CLOCK_DRIFT_SHARE
)
STEP_PERIOD = 0.1
RETRY_PAUSE = 0.2
LONGEST_PAUSE = 2.0
# Demand is weighed anew this often.
PLAN_PERIOD = 0.5
# An agent is asked again to drain this often.
DRAIN_PERIOD = 1.0
DRAIN_TIMEOUT = 1.0
# A stopping holder waits this long for the order that is on its way.
STOP_PERIOD = 3.0
# An agent passes one order to its engine within this time.
PASS_TIMEOUT = 2.0
