"""Health and readiness checks of an entry, for the load balancer."""

import http

from tornado import web

from cranberryrill import clock
from cranberryrill.callers import readiness
from cranberryrill.membership import serving_lease


class HealthHandler(web.RequestHandler):
    """Handler for `GET /healthz`, the liveness check."""

    def get(self) -> None:
        """Respond with 200 for as long as the process runs."""
        self.finish({'status': 'ok'})


class ReadyHandler(web.RequestHandler):
    """Handler for `GET /readyz`, the readiness check."""

    def initialize(
        self,
        holder: serving_lease.Holder,
        entry: readiness.Readiness,
    ) -> None:
        """Set the source of the configuration and the entry's readiness."""
        self.holder = holder
        self.entry_readiness = entry

    def get(self) -> None:
        """Respond with 200 if the entry may get requests, otherwise with 503.

        It may if its configuration is proved to be current and no shutdown has
        begun.
        """
        current = self.holder.may_serve(clock.monotonic_seconds())
        ready = current and not self.entry_readiness.unready
        if not ready:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish(
            {'ready': ready, 'revision': self.holder.configuration.revision},
        )
