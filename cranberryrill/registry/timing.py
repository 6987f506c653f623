"""Name the durations that registration rests on, in seconds."""

# An upstream that is silent for so many heartbeats is removed; single ones
# may arrive seconds late.
MISSED_HEARTBEATS = 5
DEFAULT_HEARTBEAT_SECONDS = 1.2
# An upstream that has ended is remembered, so that a late heartbeat does not
# bring it back.
REMOVED_RETENTION_SECONDS = 120.0
