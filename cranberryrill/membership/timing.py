"""Name the durations that membership rests on, in seconds."""

# A process serves this long on its newest proof that nothing newer exists.
SERVING_LEASE = 4.0
# A request that was admitted may take this long to reach its upstream.
REQUEST_UNDERWAY = 0.4
# Clocks of two processes may run apart by this share.
CLOCK_DRIFT = 0.02
# No process serves on a proof that is older than this by another's clock.
LEASE_BOUND = SERVING_LEASE * (1 + CLOCK_DRIFT)
RENEWAL_PERIOD = 0.5
# A watch that brings no fresher proof for this long is opened elsewhere.
WATCH_SILENCE = 1.2
# A member that was just asked for the first time proves freshness sooner, so
# that two of them in a row can fail within one lease.
FIRST_PROOF = 0.8
RETRY_PAUSE = 0.1
# A member looks this often whether it has a proof again.
PROOF_POLL = 0.06
# Directory changes reach watchers and other members at most this often.
DIRECTORY_PERIOD = 0.25
EXCHANGE_TIMEOUT = 0.8
# A member that was just started hands out no directory for this long, unless
# it has heard from every other member before.
GATHERING_PERIOD = 1.0
# A watcher that sends nothing for this long has left.
WATCHER_SILENCE = 3.0
