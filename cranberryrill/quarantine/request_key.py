"""Keys that repeats of a request share, under which evidence is recorded.

A repeat has the same method, target, owner and body, whatever its headers are.
The body of a large request is hashed only where the rest is the same.
"""

import hashlib

# Part ids hold no colon, so that no part passes for a request.
PREFIX = 'request:'
DIGEST_BYTES = 16


def head_key(method: str, target: str, owner: str) -> str:
    """Return the key of a request without its body.

    `owner` is the caller's organisation, or its key if it has none.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method, target, owner):
        encoded = field.encode('utf-8', 'surrogatepass')
        digest.update(len(encoded).to_bytes(4) + encoded)
    return PREFIX + digest.hexdigest()


def full_key(head: str, body: bytes) -> str:
    """Return the key of a request, given that of its head."""
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES)
    return f'{head}:{digest.hexdigest()}'


def is_request(key: str) -> bool:
    """Return whether a key is that of a request, not of a prompt part."""
    return key.startswith(PREFIX)


def head_of(full: str) -> str:
    """Return the key of the head of a request, given the full one."""
    return full.rpartition(':')[0]
