"""Serve the published chat-completions format."""

import json
import typing
import dataclasses

import pydantic
import result

from cranberryrill import failures
from cranberryrill.callers import handlers
from cranberryrill.configuration import document
from cranberryrill.relay import relay_pb2


TokenLimit = typing.Annotated[int, pydantic.Field(ge=1)]


@dataclasses.dataclass(frozen=True)
class ChatBody:
    """Name the parts of a chat request that the router reads."""

    model: str
    messages: typing.Annotated[
        tuple[dict[str, typing.Any], ...],
        pydantic.Field(min_length=1),
    ]
    stream: bool = False
    max_tokens: TokenLimit | None = None
    max_completion_tokens: TokenLimit | None = None


CHAT_BODY: pydantic.TypeAdapter[ChatBody] = pydantic.TypeAdapter(ChatBody)


def read_body(
    content: bytes,
) -> result.Result[ChatBody, failures.MalformedRequest]:
    """Return what the router needs of a chat request."""
    try:
        return result.Ok(CHAT_BODY.validate_json(content))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = '.'.join(str(part) for part in first['loc']) or 'body'
        return result.Err(
            failures.MalformedRequest(f'{place}: {first["msg"]}'),
        )


class ChatHandler(handlers.CallerHandler):
    """Answer `POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Run a chat request."""
        self.body_arrived()
        read = read_body(self.request.body)
        if isinstance(read, result.Err):
            self.refuse(read.err_value)
            return
        body = read.ok_value
        model = self.holder.serving.find(document.Model, 'models', body.model)
        if model is None:
            self.refuse(failures.UnknownModel(f'no model {body.model!r}'))
            return
        asked = self.request.headers.get(handlers.CLASS_HEADER)
        class_name = asked or self.holder.serving.class_name(
            self.organisation,
            model.name,
            model.default_class,
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
                target=model.name,
                is_model=True,
                method='POST',
                path=self.request.path,
                headers=self.passed_headers(),
                body=self.request.body,
                idempotent=True,
                first_token_ms=level.first_token_ms,
                streamed=body.stream,
            ),
            model.timeout_ms,
        )


class ModelsHandler(handlers.CallerHandler):
    """Answer `GET /v1/models`."""

    def get(self) -> None:
        """List the models in the published format."""
        models = self.holder.serving.every(document.Model, 'models')
        listed = [
            {'id': model.name, 'object': 'model', 'owned_by': 'cranberryrill'}
            for model in models
        ]
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps({'object': 'list', 'data': listed}))
