"""Make keys, and the digests by which the system knows them."""

import hashlib
import secrets

KEY_PREFIX = 'crk_'
KEY_BYTES = 32
BEARER_PREFIX = 'bearer '


def new_key() -> str:
    """Return a fresh random key; it is shown once and stored nowhere."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_of(key: str) -> bytes:
    """Return what the system stores in place of the key."""
    return hashlib.sha256(key.encode()).digest()


def bearer_digest(header: str) -> bytes | None:
    """Return the digest of the bearer token in an Authorization header."""
    if header[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    token = header[len(BEARER_PREFIX) :].strip()
    return digest_of(token) if token else None
