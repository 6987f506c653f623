"""Durations of the relay between entries, agents and upstreams, in seconds."""

# An agent sends a heartbeat after this long without data on a stream.
HEARTBEAT_SECONDS = 0.3
# An entry replaces a stream that is silent for this long.
STREAM_SILENCE_SECONDS = 1.0
# Interval of the heartbeats from an entry that reads an answer.
UPWARD_HEARTBEAT_SECONDS = 1.0
# An agent drops a stream on which the entry is silent for this long.
UPWARD_SILENCE_SECONDS = 3.0
RETRY_DELAY_SECONDS = 0.05
# How long after the last contact a stream may reattach to an answer in
# progress. After that the agent cancels a request that may be cancelled,
# and the entry stops retrying.
REATTACH_SECONDS = 5.0
# A leaving agent keeps running for this long, so that its announcement reaches
# all entries.
LEAVING_ANNOUNCEMENT_SECONDS = 1.0
# The agent keeps the content of a finished answer for this long, and that of
# a claimed one for as long as there is room.
ANSWER_LIFETIME_SECONDS = 30.0
# A connection without streams for this long is closed when another one is
# opened.
IDLE_CONNECTION_SECONDS = 60.0
UPSTREAM_CONNECT_TIMEOUT_SECONDS = 2.0
# Interval of the checks of an exchange with the upstream.
UPSTREAM_CHECK_SECONDS = 0.25
# Maximum silence of the upstream before its head. It sends nothing while it
# queues the request and processes a long prompt.
UPSTREAM_HEAD_TIMEOUT_SECONDS = 120.0
# A streaming model that is silent for this long between tokens has failed.
TOKEN_SILENCE_SECONDS = 1.5
# An upstream that pauses this long within a body that is not streamed has
# failed.
BODY_SILENCE_SECONDS = 5.0
# How long after the deadline an entry waits for the agent's own timeout
# failure. The agent checks each exchange every 0.25 s.
DEADLINE_GRACE_SECONDS = 0.4
# Longest time that an exchange with the upstream may take.
ANSWER_TIMEOUT_SECONDS = 600.0
