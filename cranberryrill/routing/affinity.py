"""Session affinity: route requests with a common prompt prefix to one agent.

Rendezvous hashing needs no cache events: every entry selects the same agent
for a session, and the loss of an agent moves only that agent's sessions.
"""

import hashlib
from collections import abc

from cranberryrill.membership import membership_pb2
from cranberryrill.relay import relay_pb2

# Requests that name no session and share this many leading bytes of the body
# are treated as one session.
PREFIX_BYTES = 1024
DIGEST_BYTES = 8


def session_key(call: relay_pb2.Call) -> bytes:
    """Return a digest of the session name, or else of the body's prefix."""
    source = call.session.encode() or call.body[:PREFIX_BYTES]
    # Includes the organisation, so that organisations share no cached prefix.
    return _digest(call.organisation.encode(), source)


def preferred_agent(
    session: bytes,
    agents: abc.Iterable[membership_pb2.Announcement],
) -> membership_pb2.Announcement | None:
    """Return the agent that the session hashes to, None without agents."""
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
