"""Administration API: usage windows and their token counts."""

import typing

import pydantic

from cranberryrill import failures
from cranberryrill.administration import base_handler, refusals
from cranberryrill.usage import usage_pb2

WINDOW_NUMBER: pydantic.TypeAdapter[int] = pydantic.TypeAdapter(
    typing.Annotated[int, pydantic.Field(ge=1)],
)


class UsageHandler(base_handler.AdministrationHandler):
    """Handler of `/admin/v1/usage`."""

    async def get(self) -> None:
        """Return all windows, newest first, or the usage lines of one.

        The query argument `window` is the number of the window to return.
        """
        argument = self.get_query_argument('window', '')
        try:
            number = (
                WINDOW_NUMBER.validate_python(argument) if argument else None
            )
        except pydantic.ValidationError:
            self.refuse(failures.MalformedRequest('window: not a number'))
            return
        if not await self.require_current():
            return
        if number is None:
            windows = [_window_fields(window) for window in self._windows()]
            self.finish({'windows': windows})
            return
        for window in self._windows():
            if window.number == number:
                self.finish(
                    {**_window_fields(window), 'lines': self._lines(window)}
                )
                return
        self.refuse(refusals.UnknownWindow(f'no window {number} is kept'))

    def _windows(self) -> list[usage_pb2.Window]:
        usage = self.operations.usage
        return [usage.open, *reversed(usage.sealed.values())]

    def _lines(self, window: usage_pb2.Window) -> list[dict[str, typing.Any]]:
        open_lines = self.operations.usage.totals.lines()
        lines = window.lines if window.sealed else open_lines
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


def _window_fields(window: usage_pb2.Window) -> dict[str, typing.Any]:
    return {
        'window': window.number,
        'opened_unix_ms': window.opened_unix_ms,
        'sealed_unix_ms': window.sealed_unix_ms,
        'sealed': window.sealed,
        'reported': window.reported,
    }
