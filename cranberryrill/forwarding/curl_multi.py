"""Run curl transfers on the event loop, each of which can end at once.

Tornado's client offers no way to end a transfer before its time, and the work
of an upstream whose caller has left should end at once.
"""

import asyncio
import typing
from collections import abc

import pycurl

MILLISECONDS_PER_SECOND = 1000
# Gets curl's error number, its message and how many bytes of the request were
# sent.
Ended = abc.Callable[[int, str, int], None]


class Driver:
    """Own one curl multi handle."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self.timer: asyncio.TimerHandle | None = None
        self.watched: dict[int, int] = {}
        self.running: dict[typing.Any, Ended] = {}

    def start(self, curl: typing.Any, ended: Ended) -> None:
        """Start a transfer, and call `ended` at its end."""
        self.running[curl] = ended
        self.multi.add_handle(curl)
        self._set_timer(0)

    def stop(self, curl: typing.Any) -> None:
        """End a transfer now and close its connection."""
        if self.running.pop(curl, None) is None:
            return
        self.multi.remove_handle(curl)
        curl.close()

    def close(self) -> None:
        """End every transfer."""
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
                self._time_out,
            )

    def _watch_socket(
        self,
        event: int,
        descriptor: int,
        multi: typing.Any,
        assigned: typing.Any,
    ) -> None:
        before = self.watched.pop(descriptor, 0)
        if before & pycurl.POLL_IN:
            self.loop.remove_reader(descriptor)
        if before & pycurl.POLL_OUT:
            self.loop.remove_writer(descriptor)
        if event == pycurl.POLL_REMOVE:
            return
        self.watched[descriptor] = event
        if event & pycurl.POLL_IN:
            self.loop.add_reader(
                descriptor,
                self._act,
                descriptor,
                pycurl.CSELECT_IN,
            )
        if event & pycurl.POLL_OUT:
            self.loop.add_writer(
                descriptor,
                self._act,
                descriptor,
                pycurl.CSELECT_OUT,
            )

    def _time_out(self) -> None:
        self.timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _act(self, descriptor: int, action: int) -> None:
        while True:
            status, _ = self.multi.socket_action(descriptor, action)
            if status != pycurl.E_CALL_MULTI_PERFORM:
                break
        self._collect()

    def _collect(self) -> None:
        left = 1
        while left:
            left, done, failed = self.multi.info_read()
            for curl in done:
                self._finish(curl, pycurl.E_OK, '')
            for curl, number, text in failed:
                self._finish(curl, number, text)

    def _finish(self, curl: typing.Any, number: int, text: str) -> None:
        ended = self.running.pop(curl, None)
        sent_bytes = int(curl.getinfo(pycurl.REQUEST_SIZE))
        self.multi.remove_handle(curl)
        curl.close()
        if ended is not None:
            ended(number, text, sent_bytes)
