"""Periods and timeouts of submitting and reporting usage."""

# Interval at which an agent submits its counts. An agent that is killed loses
# the counts of one interval and those added while a batch was pending.
FLUSH_PERIOD_SECONDS = 1.0
# Timeout of one attempt to commit a batch; the batch is retried until it
# succeeds.
SUBMIT_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.2
# A stopping agent waits at most this long for the last acknowledgement.
STOP_TIMEOUT_SECONDS = 8.0
# The holder of authority checks for due windows and reports at this interval.
REPORT_PERIOD_SECONDS = 0.1
