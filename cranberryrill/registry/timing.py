"""Timeouts of the registration of upstreams."""

# An upstream expires after this many heartbeat periods without a heartbeat. A
# single heartbeat may arrive seconds late.
MISSED_HEARTBEATS = 5
DEFAULT_HEARTBEAT_SECONDS = 1.2
DEFAULT_DRAIN_SECONDS = 2.0
# An upstream known from before a restart of the member expires after this many
# heartbeat periods without a heartbeat; its next one is due within one.
RESTORED_HEARTBEATS = 2.5
# The record of an upstream that leaves or has ended is kept this long, so that
# a late heartbeat does not register it again.
REMOVED_RETENTION_SECONDS = 120.0
# An upstream whose end was announced sends no more heartbeats. It is registered
# again if more of them arrive than can have been on their way, and for longer:
# the announcement was late, and that of an earlier incarnation.
RETURN_HEARTBEATS = 8
RETURN_SECONDS = 8.0
# Age given to a departure from a snapshot, of which the age is not known.
RESTORED_DEPARTURE_AGE_SECONDS = 30.0
# Every living upstream sends a heartbeat to some member within this many
# periods of a member's start. Watchers of that member keep an upstream that
# ended while all members were down for no longer.
FIRST_HEARTBEAT_FACTOR = 1.25
