"""Redirector that runs instead of a control member on a VM without a disk.

What a control member acknowledges must survive a failure of its VM, so only a
VM with a disk may acknowledge it.
"""

import http
import json
import logging
import random

from tornado import httpserver, web

from cranberryrill import clock, tasks, transport
from cranberryrill.programs import shutdown
from cranberryrill.redirection import candidates, prober
from cranberryrill.replication import peers
from cranberryrill.settings import fleet

LOGGER = logging.getLogger(__name__)


class Redirector:
    """Process that redirects operators and upstreams to control members."""

    def __init__(self, settings: fleet.FleetSettings) -> None:
        self.settings = settings
        self.group = tasks.TaskGroup()
        self.rng = random.Random(random.SystemRandom().random())
        self.known_members = candidates.Candidates(self._others(settings))
        self.prober = prober.Prober(
            self.known_members,
            peers.Peers(transport.Dialer(None), {}),
            settings.control_port,
            self.group,
        )

    async def run(self) -> None:
        """Serve until a stop signal arrives or a background task fails."""
        settings = self.settings
        LOGGER.info('starting', extra={'role': 'redirector'})
        grpc_server = await transport.listen(
            [prober.DisklessService()],
            transport.Address(settings.internal_host, settings.control_port),
            None,
        )
        self.prober.start()
        handler_arguments = {'served': self}
        api_server = httpserver.HTTPServer(
            web.Application([('.*', RedirectHandler, handler_arguments)]),
        )
        if settings.control:
            transport.listen_http(
                api_server, fleet.parse_address(settings.control)
            )
        await shutdown.wait_for_stop(self.group)
        api_server.stop()
        await api_server.close_all_connections()
        await self.group.cancel()
        grpc_server.close()
        await grpc_server.wait_closed()
        self.prober.peers.close()
        LOGGER.info('stopped')
        self.group.check()

    def reload(self, settings: fleet.FleetSettings) -> None:
        """Add the seeds of changed settings; other changes need a restart."""
        LOGGER.info('settings reloaded', extra={'seeds': settings.seeds})
        self.prober.add(self._others(settings))

    def location(self, target: str, now: float) -> str | None:
        """Return the URL of `target` at a random available control member.

        None when no member is available, or no control address is configured.
        """
        host = self.known_members.choose(now, self.rng)
        if host is None or not self.settings.control:
            return None
        # All members serve operators and upstreams at the same port.
        port = fleet.parse_address(self.settings.control).port
        return f'http://{host}:{port}{target}'

    def _others(self, settings: fleet.FleetSettings) -> list[str]:
        return [host for host in settings.seed_hosts if host != settings.host]


class RedirectHandler(web.RequestHandler):
    """Handler that redirects every request to a control member."""

    def initialize(self, served: Redirector) -> None:
        """Set the redirector that selects the member."""
        self.served = served

    def prepare(self) -> None:
        """Answer any method with 307, or 503 when no member is available."""
        location = self.served.location(
            self.request.uri or '/',
            clock.monotonic_seconds(),
        )
        if location is None:
            LOGGER.info(
                'call refused',
                extra={
                    'method': self.request.method,
                    'path': self.request.path,
                    'status': http.HTTPStatus.SERVICE_UNAVAILABLE,
                    'cause': 'no control member answers',
                },
            )
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
            self.finish(json.dumps({'error': 'no control member answers'}))
            return
        self.set_status(http.HTTPStatus.TEMPORARY_REDIRECT)
        self.set_header('Location', location)
        self.finish()
