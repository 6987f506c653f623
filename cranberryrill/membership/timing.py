"""Timeouts and periods of the membership protocol, in seconds."""

# A process serves requests while its newest proof is younger than this.
SERVING_LEASE_SECONDS = 4.0
# Longest time from the admission of a request to its arrival at the upstream.
MAX_FORWARDING_DELAY_SECONDS = 0.4
# Largest relative difference between the clock rates of two processes.
CLOCK_DRIFT_RATIO = 0.02
# Longest time, by the clock of another process, for which a process serves on
# one proof.
MAX_LEASE_SECONDS = SERVING_LEASE_SECONDS * (1 + CLOCK_DRIFT_RATIO)
RENEWAL_PERIOD_SECONDS = 0.5
# A process moves its watch to another member when the current one sends no
# newer proof within this time.
WATCH_PROOF_TIMEOUT_SECONDS = 1.2
# The first proof of a new watch is due sooner, so that two members in a row
# can fail within one lease.
FIRST_PROOF_TIMEOUT_SECONDS = 0.8
RETRY_DELAY_SECONDS = 0.1
# Interval at which a member checks whether its own proof has become fresh or
# expired.
PROOF_POLL_SECONDS = 0.06
# Changes of the directory are sent to other members at this interval, and to
# watchers at this interval or sooner.
DIRECTORY_PERIOD_SECONDS = 0.25
EXCHANGE_TIMEOUT_SECONDS = 0.8
# A member that has just started sends no directory to watchers for this long,
# or until it has received a share from every other member.
DIRECTORY_WARM_UP_SECONDS = 1.0
# A watcher that sends no renewal for this long is disconnected.
WATCHER_TIMEOUT_SECONDS = 3.0
