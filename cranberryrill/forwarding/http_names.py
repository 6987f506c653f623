"""Name the headers by which callers, this system and upstreams speak.

The defaults are this system's own; an adapter may name others.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpNames:
    """Hold the header names, in lower case, and other fixed words."""

    # What callers send and upstreams get unchanged.
    attempt: str = 'x-attempt-id'
    tokens: str = 'x-token-count'
    prompt_parts: str = 'x-prompt-parts'
    # What this system sets anew for upstreams.
    deadline: str = 'x-deadline-ms'
    organisation: str = 'x-organisation'
    expected_upstream: str = 'x-expected-upstream'
    priority: str = 'x-priority'
    # Where an engine may get cached parts of the prompt; empty where engines
    # can't.
    fetch_from: str = 'x-fetch-cache-from'
    # What only this system may say to upstreams, so that it is dropped when
    # callers say it.
    reserved: frozenset[str] = frozenset()
    # What upstreams say of their answers.
    signature: str = 'x-upstream-signature'
    not_executed: str = 'x-not-executed'
    load: str = 'x-upstream-load'
    # The word before a key in `Authorization`.
    key_scheme: str = 'Bearer'
    readiness_path: str = '/readyz'
