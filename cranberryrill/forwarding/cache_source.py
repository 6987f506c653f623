"""Choose where each upstream would fetch cached prompt parts from.

A fetch between data centres moves many bytes and takes twice as long, so that
a source in the upstream's own data centre is preferred.
"""

import dataclasses
from collections import abc

from cranberryrill.forwarding import cache_fetch, placement, upstreams

# Time of a fetch from another data centre, compared with one from the same.
REMOTE_FETCH_FACTOR = 2
# Tokens of prefill that a fetch from another data centre must save beyond what
# is saved without it: about 20 ms, and megabytes to move for each 1,000.
MIN_REMOTE_SAVING_TOKENS = 2000


@dataclasses.dataclass(frozen=True)
class Source:
    """Upstream to fetch from, and the tokens missing there."""

    upstream: upstreams.Upstream
    missing_tokens: int


@dataclasses.dataclass(frozen=True)
class Fetch:
    """What an upstream would prefill, in tokens, and fetch first."""

    missing_tokens: float
    source: upstreams.Upstream | None = None


class Sources:
    """The best source of each data centre for one request."""

    def __init__(
        self,
        request: placement.PlacementRequest,
        usable: abc.Iterable[upstreams.Upstream],
    ) -> None:
        self.request = request
        self.by_data_centre: dict[str, Source] = {}
        # An upstream has the first or the second of them in another one.
        self.best_two: list[tuple[str, Source]] = []
        if request.fetch_cost_ratio is None:
            return
        for upstream in usable:
            missing = upstream.cache.missing_tokens(request.parts, ready=True)
            data_centre = upstream.registration.data_centre
            best = self.by_data_centre.get(data_centre)
            if best is None or missing < best.missing_tokens:
                self.by_data_centre[data_centre] = Source(upstream, missing)
        self.best_two = sorted(
            self.by_data_centre.items(),
            key=lambda found: found[1].missing_tokens,
        )[:2]

    def fetch_for(self, upstream: upstreams.Upstream) -> Fetch:
        """Return what the upstream would fetch for the request, if it got it.

        Nothing is fetched from another data centre unless it saves clearly
        more.
        """
        missing = upstream.cache.missing_tokens(self.request.parts)
        ratio = self.request.fetch_cost_ratio
        if ratio is None:
            return Fetch(missing)
        home = upstream.registration.data_centre
        best = Fetch(missing)
        local = self.by_data_centre.get(home)
        if local is not None:
            best = _fetch(missing, local, ratio)
        remote_ratio = ratio * REMOTE_FETCH_FACTOR
        if remote_ratio > cache_fetch.MAX_FETCH_COST_RATIO:
            return best
        for data_centre, source in self.best_two:
            if data_centre != home:
                remote = _fetch(missing, source, remote_ratio)
                saved = best.missing_tokens - remote.missing_tokens
                return remote if saved >= MIN_REMOTE_SAVING_TOKENS else best
        return best


def _fetch(missing: int, source: Source, ratio: float) -> Fetch:
    if missing - source.missing_tokens < cache_fetch.MIN_FETCHED_TOKENS:
        return Fetch(missing)
    return Fetch(
        cache_fetch.effective_missing_tokens(
            missing, source.missing_tokens, ratio
        ),
        source.upstream,
    )
