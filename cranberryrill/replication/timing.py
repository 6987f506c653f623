"""Durations of the replication protocol, in seconds."""

# Duration of a leader's lease. It starts when the leader sends the append that
# a majority then confirms.
LEADER_LEASE_SECONDS = 1.0
# Maximum relative difference in speed between the clocks of two members.
CLOCK_DRIFT_SHARE = 0.02
# A voter refuses all votes for this long after contact from a leader.
VOTE_SILENCE_SECONDS = LEADER_LEASE_SECONDS * (1 + CLOCK_DRIFT_SHARE)
HEARTBEAT_SECONDS = 0.15
# A voter that has started waits for two heartbeats before it votes, so that it
# learns of a current leader.
START_SILENCE_SECONDS = 2 * HEARTBEAT_SECONDS
MIN_ELECTION_TIMEOUT_SECONDS = 1.2
MAX_ELECTION_TIMEOUT_SECONDS = 1.8
ELECTION_POLL_SECONDS = 0.05
# Maximum random pause of a candidate after an election.
MAX_ELECTION_RETRY_SECONDS = 0.2
# After a start each voter waits this much longer than the previous one by name:
# an election among nearby members takes 20 ms.
ELECTION_STEP_SECONDS = 0.1
# The connection to a peer that does not answer in this time is replaced.
CALL_TIMEOUT_SECONDS = 0.5
# A vote waits for the voter's disk. To this time, a candidate adds what its own
# disk took for some ballots: those of the voter and of a rival before.
VOTE_TIMEOUT_SECONDS = 0.4
BALLOTS_PER_VOTE = 3
MAX_BALLOT_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.05
# Maximum time for one chunk of a snapshot, and for the answer after the last.
CHUNK_TIMEOUT_SECONDS = 2.0
INSTALL_TIMEOUT_SECONDS = 20.0
# Maximum time for a member to catch up before it becomes a voter.
CATCH_UP_TIMEOUT_SECONDS = 10.0
ADMIT_TIMEOUT_SECONDS = 20.0
FOUNDING_PERIOD_SECONDS = 0.1
# A follower requests a freshness proof from the leader at this interval, or at
# the shorter poll interval while its proof is older than the due age.
READ_PERIOD_SECONDS = 0.25
PROOF_DUE_AGE_SECONDS = 0.8
PROOF_POLL_SECONDS = 0.06
PROPOSE_TIMEOUT_SECONDS = 4.0
