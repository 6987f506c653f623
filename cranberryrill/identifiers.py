"""Random identifiers of requests, process incarnations and changes."""

import secrets

IDENTIFIER_BYTES = 12


def new_identifier(prefix: str) -> str:
    """Return a new random identifier: `prefix`, a hyphen and hex digits."""
    return f'{prefix}-{secrets.token_hex(IDENTIFIER_BYTES)}'
