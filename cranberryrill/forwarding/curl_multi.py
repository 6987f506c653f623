"""Run cancellable curl transfers on the asyncio event loop.

Tornado's curl client can't cancel a transfer. When a caller disconnects, the
upstream should stop its work at once.
"""

import asyncio
import typing
from collections import abc

import pycurl

MILLISECONDS_PER_SECOND = 1000
# Receives curl's error number, its error message (empty on success), the number
# of request bytes sent, and that of the request's body alone.
DoneCallback = abc.Callable[[int, str, int, int], None]


class Driver:
    """Drive the transfers of one curl multi handle from the event loop."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self._update_socket)
        self.timer: asyncio.TimerHandle | None = None
        self.socket_events: dict[int, int] = {}
        self.running: dict[typing.Any, DoneCallback] = {}

    def start(self, curl: typing.Any, on_done: DoneCallback) -> None:
        """Start a transfer; call `on_done` when it succeeds or fails."""
        self.running[curl] = on_done
        self.multi.add_handle(curl)
        self._set_timer(0)

    def stop(self, curl: typing.Any) -> None:
        """Cancel a transfer and close its connection.

        Its callback is not called. Does nothing if the transfer has ended.
        """
        if self.running.pop(curl, None) is None:
            return
        self.multi.remove_handle(curl)
        curl.close()

    def close(self) -> None:
        """Cancel every transfer and release the handle."""
        for curl in list(self.running):
            self.stop(curl)
        if self.timer is not None:
            self.timer.cancel()
        self.multi.close()

    def _set_timer(self, milliseconds: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if milliseconds >= 0:
            self.timer = self.loop.call_later(
                milliseconds / MILLISECONDS_PER_SECOND,
                self._on_timeout,
            )

    def _update_socket(
        self,
        event: int,
        descriptor: int,
        multi: typing.Any,
        assigned: typing.Any,
    ) -> None:
        previous = self.socket_events.pop(descriptor, 0)
        if previous & pycurl.POLL_IN:
            self.loop.remove_reader(descriptor)
        if previous & pycurl.POLL_OUT:
            self.loop.remove_writer(descriptor)
        if event == pycurl.POLL_REMOVE:
            return
        self.socket_events[descriptor] = event
        if event & pycurl.POLL_IN:
            self.loop.add_reader(
                descriptor,
                self._run_action,
                descriptor,
                pycurl.CSELECT_IN,
            )
        if event & pycurl.POLL_OUT:
            self.loop.add_writer(
                descriptor,
                self._run_action,
                descriptor,
                pycurl.CSELECT_OUT,
            )

    def _on_timeout(self) -> None:
        self.timer = None
        self._run_action(pycurl.SOCKET_TIMEOUT, 0)

    def _run_action(self, descriptor: int, action: int) -> None:
        while True:
            status, _ = self.multi.socket_action(descriptor, action)
            if status != pycurl.E_CALL_MULTI_PERFORM:
                break
        self._finish_ended()

    def _finish_ended(self) -> None:
        remaining = 1
        while remaining:
            remaining, done, failed = self.multi.info_read()
            for curl in done:
                self._finish(curl, pycurl.E_OK, '')
            for curl, error_number, message in failed:
                self._finish(curl, error_number, message)

    def _finish(
        self, curl: typing.Any, error_number: int, message: str
    ) -> None:
        on_done = self.running.pop(curl, None)
        sent_bytes = int(curl.getinfo(pycurl.REQUEST_SIZE))
        sent_body_bytes = int(curl.getinfo(pycurl.SIZE_UPLOAD_T))
        self.multi.remove_handle(curl)
        curl.close()
        if on_done is not None:
            on_done(error_number, message, sent_bytes, sent_body_bytes)
