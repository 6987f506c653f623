"""Generate API keys and compute the digests that are stored for them."""

import hashlib
import secrets

KEY_PREFIX = 'crk_'
KEY_BYTES = 32
BEARER_PREFIX = 'bearer '


def new_key() -> str:
    """Return a new random key.

    It is shown once; only its digest is stored.
    """
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_of(key: str) -> bytes:
    """Return the SHA-256 digest that is stored in place of the key."""
    return hashlib.sha256(key.encode()).digest()


def bearer_digest(header: str) -> bytes | None:
    """Return the digest of the bearer token in an Authorization header.

    None when the header holds no bearer token.
    """
    if header[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    token = header[len(BEARER_PREFIX) :].strip()
    return digest_of(token) if token else None
