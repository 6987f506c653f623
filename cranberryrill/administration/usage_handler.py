"""Show the usage of each window."""

import typing

import pydantic

from cranberryrill import failures
from cranberryrill.administration import base_handler, refusals
from cranberryrill.usage import usage_pb2

NUMBER: pydantic.TypeAdapter[int] = pydantic.TypeAdapter(
    typing.Annotated[int, pydantic.Field(ge=1)],
)


class UsageHandler(base_handler.AdministrationHandler):
    """Answer `/admin/v1/usage`."""

    async def get(self) -> None:
        """List the windows, newest first; with `window`, show one's lines."""
        wanted = self.get_query_argument('window', '')
        try:
            number = NUMBER.validate_python(wanted) if wanted else None
        except pydantic.ValidationError:
            self.refuse(failures.MalformedRequest('window: not a number'))
            return
        if not await self.require_current():
            return
        if number is None:
            listed = [_shown(window) for window in self._windows()]
            self.finish({'windows': listed})
            return
        for window in self._windows():
            if window.number == number:
                self.finish({**_shown(window), 'lines': self._lines(window)})
                return
        self.refuse(refusals.UnknownWindow(f'no window {number} is kept'))

    def _windows(self) -> list[usage_pb2.Window]:
        held = self.operations.usage
        return [held.open, *reversed(held.sealed.values())]

    def _lines(self, window: usage_pb2.Window) -> list[dict[str, typing.Any]]:
        unsealed = self.operations.usage.totals.lines()
        lines = window.lines if window.sealed else unsealed
        return [
            {
                'organisation': line.organisation,
                'class': line.class_name,
                'target': line.target,
                'requests': line.requests,
                'prompt_tokens': line.prompt_tokens,
                'output_tokens': line.output_tokens,
            }
            for line in lines
        ]


def _shown(window: usage_pb2.Window) -> dict[str, typing.Any]:
    return {
        'window': window.number,
        'opened_unix_ms': window.opened_unix_ms,
        'sealed_unix_ms': window.sealed_unix_ms,
        'sealed': window.sealed,
        'reported': window.reported,
    }
