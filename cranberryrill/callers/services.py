"""HTTP handler that forwards calls of plain services along routes."""

from cranberryrill import durations, failures
from cranberryrill.callers import handlers
from cranberryrill.configuration import document
from cranberryrill.relay import relay_pb2


class ServiceHandler(handlers.CallerHandler):
    """Handler for the standard methods on all paths that a route covers."""

    async def get(self) -> None:
        """Forward the call."""
        await self.forward()

    async def post(self) -> None:
        """Forward the call."""
        await self.forward()

    async def put(self) -> None:
        """Forward the call."""
        await self.forward()

    async def delete(self) -> None:
        """Forward the call."""
        await self.forward()

    async def patch(self) -> None:
        """Forward the call."""
        await self.forward()

    async def head(self) -> None:
        """Forward the call."""
        await self.forward()

    async def options(self) -> None:
        """Forward the call."""
        await self.forward()

    async def forward(self) -> None:
        """Deliver the call to an agent of the route's service."""
        self.cancel_body_timer()
        path = self.request.path
        route = self.holder.configuration.route_for(path)
        if route is None:
            self.refuse(
                failures.UnknownRoute(f'no route covers {path}'),
            )
            return
        class_name = self.holder.configuration.class_name(
            self.organisation,
            route.service,
            route.default_class,
        )
        request_class = self.holder.configuration.find(
            document.RequestClass,
            'classes',
            class_name,
        )
        if request_class is None:
            self.refuse(failures.UnknownClass(f'no class {class_name!r}'))
            return
        await self.deliver(
            relay_pb2.Call(
                organisation=self.organisation,
                class_name=request_class.name,
                tier=request_class.tier,
                target=route.service,
                method=str(self.request.method),
                path=str(self.request.uri),
                headers=self.forwarded_headers(),
                body=self.request.body,
                idempotent=route.idempotent,
                first_token_ms=durations.bounded_ms(
                    request_class.first_token_ms
                ),
            ),
            route.timeout_ms,
        )
