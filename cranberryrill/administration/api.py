"""Serve the administration API."""

from tornado import web

from cranberryrill.administration import (
    configuration_handlers,
    key_handlers,
    operations,
    status_handler,
    usage_handler,
)


def make_application(held: operations.Operations) -> web.Application:
    """Return the HTTP application for operators."""
    shared = {'held': held}
    return web.Application(
        [
            (
                '/admin/v1/configuration',
                configuration_handlers.ConfigurationHandler,
                shared,
            ),
            (
                '/admin/v1/configuration/history',
                configuration_handlers.HistoryHandler,
                shared,
            ),
            ('/admin/v1/keys', key_handlers.KeysHandler, shared),
            ('/admin/v1/status', status_handler.StatusHandler, shared),
            ('/admin/v1/usage', usage_handler.UsageHandler, shared),
        ],
    )
