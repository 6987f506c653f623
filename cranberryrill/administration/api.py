"""Routes of the administration API."""

from tornado import web

from cranberryrill.administration import (
    configuration_handlers,
    key_handlers,
    operations,
    status_handler,
    usage_handler,
)


def make_application(
    admin_operations: operations.Operations,
) -> web.Application:
    """Return the HTTP application that serves `/admin/v1`.

    `member_handlers.add_routes` adds the routes of the group's members.
    """
    handler_arguments = {'admin_operations': admin_operations}
    return web.Application(
        [
            (
                '/admin/v1/configuration',
                configuration_handlers.ConfigurationHandler,
                handler_arguments,
            ),
            (
                '/admin/v1/configuration/history',
                configuration_handlers.HistoryHandler,
                handler_arguments,
            ),
            ('/admin/v1/keys', key_handlers.KeysHandler, handler_arguments),
            (
                '/admin/v1/status',
                status_handler.StatusHandler,
                handler_arguments,
            ),
            ('/admin/v1/usage', usage_handler.UsageHandler, handler_arguments),
        ],
    )
