"""Run a control role on a VM without a disk: send its callers on.

What is told to a member must survive its VM, so only a VM with a disk may
acknowledge it.
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
    """Wire the parts of a redirecting process together."""

    def __init__(self, settings: fleet.FleetSettings) -> None:
        self.settings = settings
        self.group = tasks.TaskGroup()
        self.rng = random.Random(random.SystemRandom().random())
        self.known = candidates.Candidates(self._others(settings))
        self.prober = prober.Prober(
            self.known,
            peers.Peers(transport.Dialer(None), {}),
            settings.control_port,
            self.group,
        )

    async def run(self) -> None:
        """Serve until told to stop."""
        settings = self.settings
        LOGGER.info('starting', extra={'role': 'redirector'})
        listening = await transport.listen(
            [prober.DisklessService()],
            transport.Address(settings.internal_host, settings.control_port),
            None,
        )
        self.prober.start()
        shared = {'served': self}
        api = httpserver.HTTPServer(
            web.Application([('.*', RedirectHandler, shared)]),
        )
        if settings.control:
            transport.listen_http(api, fleet.parse_address(settings.control))
        await shutdown.wait_for_stop(self.group)
        api.stop()
        await api.close_all_connections()
        await self.group.cancel()
        listening.close()
        await listening.wait_closed()
        self.prober.peers.close()
        LOGGER.info('stopped')
        self.group.check()

    def reload(self, settings: fleet.FleetSettings) -> None:
        """Take up changed settings: seeds that were not known."""
        LOGGER.info('settings reloaded', extra={'seeds': settings.seeds})
        self.prober.add(self._others(settings))

    def location(self, target: str, now: float) -> str | None:
        """Return where `target` is served; none while nobody answers."""
        host = self.known.choose(now, self.rng)
        if host is None or not self.settings.control:
            return None
        # Members serve operators and upstreams at one port, everywhere.
        port = fleet.parse_address(self.settings.control).port
        return f'http://{host}:{port}{target}'

    def _others(self, settings: fleet.FleetSettings) -> list[str]:
        return [host for host in settings.seed_hosts if host != settings.host]


class RedirectHandler(web.RequestHandler):
    """Name a member for whatever is asked."""

    def initialize(self, served: Redirector) -> None:
        """Take what chooses the member."""
        self.served = served

    def prepare(self) -> None:
        """Answer every method alike."""
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
