"""Name the durations that replication rests on, in seconds."""

# A leader's proof of leadership counts this long from when it was asked for.
LEADER_LEASE = 1.0
# Clocks of two members may run apart by this share.
CLOCK_DRIFT = 0.02
# A voter that heard a leader refuses all votes for this long.
VOTE_SILENCE = LEADER_LEASE * (1 + CLOCK_DRIFT)
HEARTBEAT = 0.15
# A voter that has just started hears two heartbeats of a leader that is there.
START_SILENCE = 2 * HEARTBEAT
ELECTION_TIMEOUT_LEAST = 1.2
ELECTION_TIMEOUT_MOST = 1.8
ELECTION_POLL = 0.05
# A candidate that lost stands again after at most so long.
ELECTION_RETRY_MOST = 0.2
# After a start each voter leaves this much more time to those before it: an
# election among near members takes 20 ms.
ELECTION_STEP = 0.1
# A peer that does not answer within this time gets a new connection.
CALL_TIMEOUT = 0.5
VOTE_TIMEOUT = 0.4
RETRY_PAUSE = 0.05
# A snapshot's next piece must come within this time, and its answer.
CHUNK_TIMEOUT = 2.0
INSTALL_TIMEOUT = 20.0
# A learner that is asked to vote must have caught up within this time.
CATCH_UP_TIMEOUT = 10.0
ADMIT_TIMEOUT = 20.0
FOUNDING_PERIOD = 0.1
READ_PERIOD = 0.25
# A follower without a proof that is younger than this asks more often.
PROOF_DUE = 0.8
PROOF_POLL = 0.06
PROPOSE_TIMEOUT = 4.0
