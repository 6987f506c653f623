"""Name the durations that membership rests on, in seconds."""

# A process serves this long on its newest proof that nothing newer exists.
SERVING_LEASE_SECONDS = 4.0
# A request that was admitted may take this long to reach its upstream.
MAX_FORWARDING_DELAY_SECONDS = 0.4
# Clocks of two processes may run apart by this share.
CLOCK_DRIFT_RATIO = 0.02
# No process serves on a proof that is older than this by another's clock.
MAX_LEASE_SECONDS = SERVING_LEASE_SECONDS * (1 + CLOCK_DRIFT_RATIO)
RENEWAL_PERIOD_SECONDS = 0.5
# A watch that brings no fresher proof for this long is opened elsewhere.
WATCH_PROOF_TIMEOUT_SECONDS = 1.2
# A member that was just asked for the first time proves freshness sooner, so
# that two of them in a row can fail within one lease.
FIRST_PROOF_TIMEOUT_SECONDS = 0.8
RETRY_DELAY_SECONDS = 0.1
# A member looks this often whether it has a proof again.
PROOF_POLL_SECONDS = 0.06
# Directory changes reach watchers and other members at most this often.
DIRECTORY_PERIOD_SECONDS = 0.25
EXCHANGE_TIMEOUT_SECONDS = 0.8
# A member that was just started hands out no directory for this long, unless
# it has heard from every other member before.
DIRECTORY_WARM_UP_SECONDS = 1.0
# A watcher that sends nothing for this long has left.
WATCHER_TIMEOUT_SECONDS = 3.0
