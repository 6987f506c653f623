"""Name the durations that replication rests on, in seconds."""

# A leader's proof of leadership counts this long from when it was asked for.
LEADER_LEASE_SECONDS = 1.0
# Clocks of two members may run apart by this share.
CLOCK_DRIFT_SHARE = 0.02
# A voter that heard a leader refuses all votes for this long.
VOTE_SILENCE_SECONDS = LEADER_LEASE_SECONDS * (1 + CLOCK_DRIFT_SHARE)
HEARTBEAT_SECONDS = 0.15
# A voter that has just started hears two heartbeats of a leader that is there.
START_SILENCE_SECONDS = 2 * HEARTBEAT_SECONDS
MIN_ELECTION_TIMEOUT_SECONDS = 1.2
MAX_ELECTION_TIMEOUT_SECONDS = 1.8
ELECTION_POLL_SECONDS = 0.05
# A candidate that lost stands again after at most so long.
MAX_ELECTION_RETRY_SECONDS = 0.2
# After a start each voter leaves this much more time to those before it: an
# election among near members takes 20 ms.
ELECTION_STEP_SECONDS = 0.1
# A peer that does not answer within this time gets a new connection.
CALL_TIMEOUT_SECONDS = 0.5
VOTE_TIMEOUT_SECONDS = 0.4
RETRY_PAUSE_SECONDS = 0.05
# A snapshot's next piece must come within this time, and its answer.
CHUNK_TIMEOUT_SECONDS = 2.0
INSTALL_TIMEOUT_SECONDS = 20.0
# A learner that is asked to vote must have caught up within this time.
CATCH_UP_TIMEOUT_SECONDS = 10.0
ADMIT_TIMEOUT_SECONDS = 20.0
FOUNDING_PERIOD_SECONDS = 0.1
READ_PERIOD_SECONDS = 0.25
# A follower without a proof that is younger than this asks more often.
PROOF_DUE_AGE_SECONDS = 0.8
PROOF_POLL_SECONDS = 0.06
PROPOSE_TIMEOUT_SECONDS = 4.0
