"""Name the durations that the counting of usage rests on, in seconds."""

# An agent hands its counts on this often; what a killed agent loses is what
# it counted in this time and while a batch was on its way.
FLUSH_PERIOD_SECONDS = 1.0
# One attempt to commit a batch; the batch is kept until one succeeds.
SUBMIT_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.2
# A stopping agent waits this long for the last acknowledgement.
STOP_TIMEOUT_SECONDS = 8.0
# The holder of authority looks for due windows and reports this often.
REPORT_PERIOD_SECONDS = 0.1
