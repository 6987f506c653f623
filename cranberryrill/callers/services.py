"""Pass calls of plain services on, as the routes say."""

from cranberryrill import failures
from cranberryrill.callers import handlers
from cranberryrill.configuration import document
from cranberryrill.relay import relay_pb2


class ServiceHandler(handlers.CallerHandler):
    """Answer any method on any path that a route covers."""

    async def get(self) -> None:
        """Pass the call on."""
        await self.pass_on()

    async def post(self) -> None:
        """Pass the call on."""
        await self.pass_on()

    async def put(self) -> None:
        """Pass the call on."""
        await self.pass_on()

    async def delete(self) -> None:
        """Pass the call on."""
        await self.pass_on()

    async def patch(self) -> None:
        """Pass the call on."""
        await self.pass_on()

    async def head(self) -> None:
        """Pass the call on."""
        await self.pass_on()

    async def options(self) -> None:
        """Pass the call on."""
        await self.pass_on()

    async def pass_on(self) -> None:
        """Run the call at the route's service."""
        self.body_arrived()
        path = self.request.path
        route = self.holder.serving.route_for(path)
        if route is None:
            self.refuse(
                failures.UnknownRoute(f'no route covers {path}'),
            )
            return
        class_name = self.holder.serving.class_name(
            self.organisation,
            route.service,
            route.default_class,
        )
        level = self.holder.serving.find(
            document.RequestClass,
            'classes',
            class_name,
        )
        if level is None:
            self.refuse(failures.UnknownClass(f'no class {class_name!r}'))
            return
        await self.deliver(
            relay_pb2.Call(
                organisation=self.organisation,
                class_name=level.name,
                tier=level.tier,
                target=route.service,
                method=str(self.request.method),
                path=str(self.request.uri),
                headers=self.passed_headers(),
                body=self.request.body,
                idempotent=route.idempotent,
                first_token_ms=level.first_token_ms,
            ),
            route.timeout_ms,
        )
