"""Name the durations of relaying answers, in seconds."""

# A stream between processes is never quiet for longer than this.
HEARTBEAT_SECONDS = 0.3
# A stream that is quiet for this long is replaced by a new one.
STREAM_SILENCE_SECONDS = 1.0
# An entry says this often that it still reads an answer.
UPWARD_HEARTBEAT_SECONDS = 1.0
# An agent drops a stream on which the entry was silent for this long.
UPWARD_SILENCE_SECONDS = 3.0
RETRY_DELAY_SECONDS = 0.05
# An answer in progress can be attached to again for this long.
REATTACH_SECONDS = 5.0
# An agent that leaves stays for this long, until all entries know of it.
LEAVING_ANNOUNCEMENT_SECONDS = 1.0
# The agent keeps a finished answer for this long.
ANSWER_LIFETIME_SECONDS = 30.0
# A connection that carried nothing for this long is closed.
IDLE_CONNECTION_SECONDS = 60.0
UPSTREAM_CONNECT_TIMEOUT_SECONDS = 2.0
# How often an exchange with the upstream is looked at.
UPSTREAM_CHECK_SECONDS = 0.25
# An upstream that queues and reads a long prompt is silent until its head.
UPSTREAM_HEAD_TIMEOUT_SECONDS = 120.0
# A model that streams is never silent for this long between two tokens.
TOKEN_SILENCE_SECONDS = 1.5
# A body that is not streamed comes without a pause as long as this.
BODY_SILENCE_SECONDS = 5.0
# The agent's own word on a request whose time is over is awaited for this long:
# it looks at each exchange every 0.25 s.
DEADLINE_GRACE_SECONDS = 0.4
# No answer may take longer than this.
ANSWER_TIMEOUT_SECONDS = 600.0
