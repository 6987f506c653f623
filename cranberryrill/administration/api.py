"""Serve the administration API."""

from tornado import web

from cranberryrill.administration import (
    accounting,
    configuring,
    key_handlers,
    operations,
    reporting,
)


def application(held: operations.Operations) -> web.Application:
    """Return the HTTP application for operators."""
    shared = {'held': held}
    return web.Application(
        [
            (
                '/admin/v1/configuration',
                configuring.ConfigurationHandler,
                shared,
            ),
            (
                '/admin/v1/configuration/history',
                configuring.HistoryHandler,
                shared,
            ),
            ('/admin/v1/keys', key_handlers.KeysHandler, shared),
            ('/admin/v1/status', reporting.StatusHandler, shared),
            ('/admin/v1/usage', accounting.UsageHandler, shared),
        ],
    )
