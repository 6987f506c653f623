"""Tell the balancer whether this entry lives and may serve."""

import http

from tornado import web

from cranberryrill import clock
from cranberryrill.callers import readiness
from cranberryrill.membership import serving_lease


class HealthHandler(web.RequestHandler):
    """Answer `GET /healthz`: the process runs."""

    def get(self) -> None:
        """Say that the process runs."""
        self.finish({'status': 'ok'})


class ReadyHandler(web.RequestHandler):
    """Answer `GET /readyz`: the entry may take requests."""

    def initialize(
        self,
        holder: serving_lease.Holder,
        entry: readiness.Readiness,
    ) -> None:
        """Take the holder of the state in force, and where the entry is."""
        self.holder = holder
        self.entry = entry

    def get(self) -> None:
        """Say whether the state held here is proved to be in force."""
        fresh = self.holder.may_serve(clock.monotonic_seconds())
        ready = fresh and not self.entry.unready
        if not ready:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish(
            {'ready': ready, 'revision': self.holder.serving.revision},
        )
