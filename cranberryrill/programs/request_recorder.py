"""Log line and metrics of each request that an entry has answered."""

import logging

from tornado import web

from cranberryrill import metrics

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000


class RequestRecorder:
    """Recorder of requests in the log and the metrics.

    Paths and headers may contain secrets, so they are not recorded.
    """

    def __init__(self, sink: metrics.Metrics) -> None:
        self.sink = sink

    def record(self, handler: web.RequestHandler) -> None:
        """Record a request that has ended, unless it is a health check."""
        request_id = getattr(handler, 'request_id', '')
        if not request_id:
            return
        elapsed_ms = handler.request.request_time() * MILLISECONDS_PER_SECOND
        if getattr(handler, 'caller_left', False):
            self._record_disconnect(handler, request_id, elapsed_ms)
            return
        status = handler.get_status()
        self.sink.incr(f'entry.requests.{status}')
        self.sink.timing('entry.request_ms', elapsed_ms)
        LOGGER.info(
            'request answered',
            extra={
                'request_id': request_id,
                'organisation': getattr(handler, 'organisation', ''),
                'status': status,
                'elapsed_ms': round(elapsed_ms, 1),
            },
        )

    def _record_disconnect(
        self,
        handler: web.RequestHandler,
        request_id: str,
        elapsed_ms: float,
    ) -> None:
        """Record a request whose caller left before its answer ended."""
        self.sink.incr('entry.callers_left')
        LOGGER.info(
            'caller left',
            extra={
                'request_id': request_id,
                'organisation': getattr(handler, 'organisation', ''),
                'answer_begun': getattr(handler, 'started', False),
                'elapsed_ms': round(elapsed_ms, 1),
            },
        )
