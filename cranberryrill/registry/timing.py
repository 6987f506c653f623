"""Timeouts of the registration of upstreams."""

# An upstream expires after this many heartbeat periods without a heartbeat. A
# single heartbeat may arrive seconds late.
MISSED_HEARTBEATS = 5
DEFAULT_HEARTBEAT_SECONDS = 1.2
# The record of an ended upstream is kept this long, so that a late heartbeat
# does not register it again.
REMOVED_RETENTION_SECONDS = 120.0
# Every upstream has sent a heartbeat to some member within this many periods.
# A watcher keeps upstreams that have ended while all members were down for no
# longer, which is less than an upstream may take to drain.
FIRST_HEARTBEAT_FACTOR = 1.25
