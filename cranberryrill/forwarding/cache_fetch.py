"""Decide what fetching cached prompt parts from another upstream is worth."""

# Cached parts are fetched from another upstream only if this saves the prefill
# of at least this many tokens. A fetched token costs at least this fraction of
# a prefilled one, since the links are fast but not free.
MIN_FETCHED_TOKENS = 512
MIN_FETCH_COST_RATIO = 0.25
# Fetching a token must take at most this fraction of the time of prefilling it,
# since fetches wait for one another on a link.
MAX_FETCH_COST_RATIO = 0.7
BITS_PER_BYTE = 8
BITS_PER_MS_PER_MBPS = 1000


def fetch_cost_ratio(
    token_bytes: int, link_mbps: float, prefill_tokens_per_ms: float
) -> float | None:
    """Return what fetching a cached token costs compared with prefilling it.

    None if the size of a token or the speed of the links is not configured, or
    if prefill is about as fast.
    """
    if token_bytes <= 0 or link_mbps <= 0:
        return None
    fetch_ms = token_bytes * BITS_PER_BYTE / (link_mbps * BITS_PER_MS_PER_MBPS)
    ratio = fetch_ms * prefill_tokens_per_ms
    if ratio > MAX_FETCH_COST_RATIO:
        return None
    return max(ratio, MIN_FETCH_COST_RATIO)


def effective_missing_tokens(
    missing: int, missing_at_source: int, cost_ratio: float
) -> float:
    """Return the prefill cost in tokens, given what the source has cached.

    Fetched tokens count at `cost_ratio`; too few of them aren't fetched.
    """
    fetched = missing - missing_at_source
    if fetched < MIN_FETCHED_TOKENS:
        return missing
    return missing_at_source + fetched * cost_ratio
