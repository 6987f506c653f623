"""Keep requests with a common beginning at one agent.

Rendezvous hashing needs no cache events: it names the same agent at every
entry, and a lost agent moves only its own share.
"""

import hashlib
from collections import abc

from cranberryrill.membership import membership_pb2
from cranberryrill.relay import relay_pb2

# Requests with this much in common at the start are taken for one session.
PREFIX_BYTES = 1024
DIGEST_BYTES = 8


def session_key(call: relay_pb2.Call) -> bytes:
    """Return what names the session, or else the beginning of the prompt."""
    told = call.session.encode() or call.body[:PREFIX_BYTES]
    # Scoped by organisation, so that no cached prefix is ever shared.
    return _digest(call.organisation.encode(), told)


def preferred_agent(
    session: bytes,
    agents: abc.Iterable[membership_pb2.Announcement],
) -> membership_pb2.Announcement | None:
    """Return the agent to which the session belongs."""
    return max(
        agents,
        key=lambda agent: _digest(session, agent.process.encode()),
        default=None,
    )


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(DIGEST_BYTES))
        digest.update(part)
    return digest.digest()
