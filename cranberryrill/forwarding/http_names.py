"""Names of HTTP headers and paths that depend on the deployment.

The defaults are the router's own; a platform adapter may set others.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpNames:
    """Header names in lower case, the key scheme and the readiness path."""

    # Sent by callers and forwarded to upstreams unchanged.
    attempt: str = 'x-attempt-id'
    tokens: str = 'x-token-count'
    prompt_parts: str = 'x-prompt-parts'
    # Set by the router on upstream requests; callers' values are replaced.
    deadline: str = 'x-deadline-ms'
    organisation: str = 'x-organisation'
    expected_upstream: str = 'x-expected-upstream'
    priority: str = 'x-priority'
    # Names the engine to fetch cached prompt parts from; empty if engines can't
    # fetch them.
    fetch_from: str = 'x-fetch-cache-from'
    # Headers that only the router may send to upstreams; dropped from callers'
    # requests.
    reserved: frozenset[str] = frozenset()
    # Set by upstreams on their responses.
    signature: str = 'x-upstream-signature'
    not_executed: str = 'x-not-executed'
    load: str = 'x-upstream-load'
    # Requests a second that the upstream takes from all entries together.
    limit: str = 'x-upstream-limit'
    # Remaining milliseconds for which the upstream is cold.
    cold: str = 'x-upstream-cold-ms'
    # Tells that the upstream is about to leave; not passed on to callers.
    leaving: str = 'x-upstream-leaving'
    # Scheme before the key in the `Authorization` header.
    key_scheme: str = 'Bearer'
    readiness_path: str = '/readyz'
