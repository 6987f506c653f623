"""HTTP handlers for the chat-completions format: chat and model list."""

import json
import typing
import dataclasses

import pydantic
import result

from cranberryrill import durations, failures
from cranberryrill.callers import handlers
from cranberryrill.configuration import document
from cranberryrill.relay import relay_pb2


TokenLimit = typing.Annotated[int, pydantic.Field(ge=1)]


@dataclasses.dataclass(frozen=True)
class ChatBody:
    """The fields of a chat request that the router reads."""

    model: str
    messages: typing.Annotated[
        tuple[dict[str, typing.Any], ...],
        pydantic.Field(min_length=1),
    ]
    stream: bool = False
    max_tokens: TokenLimit | None = None
    max_completion_tokens: TokenLimit | None = None


CHAT_BODY: pydantic.TypeAdapter[ChatBody] = pydantic.TypeAdapter(ChatBody)


def parse_body(
    content: bytes,
) -> result.Result[ChatBody, failures.MalformedRequest]:
    """Parse the body of a chat request.

    Unknown fields are ignored. The error names the first invalid field.
    """
    try:
        return result.Ok(CHAT_BODY.validate_json(content))
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        location = '.'.join(str(part) for part in first_error['loc']) or 'body'
        return result.Err(
            failures.MalformedRequest(f'{location}: {first_error["msg"]}'),
        )


class ChatHandler(handlers.CallerHandler):
    """Handler for `POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Deliver a chat request to an agent of its model."""
        self.cancel_body_timer()
        parsed = parse_body(self.request.body)
        if isinstance(parsed, result.Err):
            self.refuse(parsed.err_value)
            return
        body = parsed.ok_value
        model = self.holder.configuration.find(
            document.Model, 'models', body.model
        )
        if model is None:
            self.refuse(failures.UnknownModel(f'no model {body.model!r}'))
            return
        requested_class = self.request.headers.get(handlers.CLASS_HEADER)
        class_name = requested_class or self.holder.configuration.class_name(
            self.organisation,
            model.name,
            model.default_class,
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
                target=model.name,
                is_model=True,
                method='POST',
                path=self.request.path,
                headers=self.forwarded_headers(),
                body=self.request.body,
                idempotent=True,
                first_token_ms=durations.bounded_ms(
                    request_class.first_token_ms
                ),
                streamed=body.stream,
            ),
            model.timeout_ms,
        )


class ModelsHandler(handlers.CallerHandler):
    """Handler for `GET /v1/models`."""

    def get(self) -> None:
        """Respond with the configured models as a JSON list object."""
        models = self.holder.configuration.list_all(document.Model, 'models')
        model_objects = [
            {'id': model.name, 'object': 'model', 'owned_by': 'cranberryrill'}
            for model in models
        ]
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps({'object': 'list', 'data': model_objects}))
