"""Record what requests use, while they run and when they end."""

import dataclasses
import typing

from cranberryrill.forwarding import admission
from cranberryrill.shares import decay, shares

# Open requests count for this time in advance, so that those that are sent in
# one moment alternate between organisations.
ADVANCE_SECONDS = 1.0
# Of a prompt whose tokens the caller doesn't state.
BYTES_PER_TOKEN = 4


class Recorder(typing.Protocol):
    """Records the attempts of requests at upstreams."""

    def start(self, admitted: admission.Admitted, now: float) -> None:
        """Record that a request is sent to an upstream."""

    def end(self, admitted: admission.Admitted, now: float) -> None:
        """Record that the attempt has ended."""


class NullRecorder:
    """Recorder of a process without shares."""

    def start(self, admitted: admission.Admitted, now: float) -> None:
        """Record nothing."""

    def end(self, admitted: admission.Admitted, now: float) -> None:
        """Record nothing."""


NULL_RECORDER = NullRecorder()


def size_of(admitted: admission.Admitted) -> float:
    """Return what a request occupies while it runs.

    Tokens of an engine's memory, or one slot of a plain service.
    """
    if admitted.service.engine is None:
        return 1
    metadata = admitted.metadata
    stated = metadata.prompt_tokens + metadata.output_tokens
    return stated or max(len(admitted.request.body) // BYTES_PER_TOKEN, 1)


@dataclasses.dataclass
class OpenUse:
    """What the open requests of one organisation occupy of a service."""

    accrued_at: float
    size: float = 0.0
    requests: int = 0


class ShareRecorder:
    """Adds what open requests use to the shares as time passes.

    The sum over an organisation's open requests accrues at once, so the work
    doesn't grow with their number.
    """

    def __init__(self, organisation_shares: shares.Shares) -> None:
        self.shares = organisation_shares
        self.open: dict[tuple[str, str], OpenUse] = {}

    def start(self, admitted: admission.Admitted, now: float) -> None:
        """Record that a request is sent to an upstream."""
        key = (admitted.service.name, admitted.organisation)
        self._accrue(key, now)
        open_use = self.open.setdefault(key, OpenUse(now))
        open_use.size += size_of(admitted)
        open_use.requests += 1

    def end(self, admitted: admission.Admitted, now: float) -> None:
        """Record that the attempt has ended."""
        key = (admitted.service.name, admitted.organisation)
        self._accrue(key, now)
        open_use = self.open[key]
        open_use.size -= size_of(admitted)
        open_use.requests -= 1
        if not open_use.requests:
            del self.open[key]

    def used(self, service: str, organisation: str, now: float) -> float:
        """Return what an organisation has used, and will soon have used."""
        key = (service, organisation)
        self._accrue(key, now)
        open_use = self.open.get(key)
        advance = open_use.size * ADVANCE_SECONDS if open_use else 0
        return self.shares.used(service, organisation, now) + advance

    def accrue(self, now: float) -> None:
        """Add what all open requests have used until now."""
        for key in self.open:
            self._accrue(key, now)

    def _accrue(self, key: tuple[str, str], now: float) -> None:
        open_use = self.open.get(key)
        if open_use is None:
            return
        service, organisation = key
        seconds = max(now - open_use.accrued_at, 0)
        open_use.accrued_at = now
        self.shares.record(
            service,
            organisation,
            decay.accumulated(open_use.size, seconds),
            now,
        )
