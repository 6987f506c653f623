"""Requests of the stand-in engine: ledger lines and running sequences."""

import asyncio
import dataclasses


@dataclasses.dataclass
class LedgerLine:
    """Ledger line of one request.

    Times are monotonic seconds; 0 means that the event has not happened.
    """

    request_id: str
    priority: int
    prompt_tokens: int
    produced: int = 0
    finished: bool = False
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: str = ''
    arrived_at: float = 0
    started_at: float = 0
    first_token_at: float = 0
    ended_at: float = 0
    # Tokens that the client already had when it resumed an earlier request;
    # 0 for a new request.
    resumed_from: int = 0
    # Whether a later request resumed this one and delivered its tokens.
    resumed: bool = False
    cached_tokens: int = 0

    def wasted_tokens(self) -> int:
        """Return how many tokens are part of no complete answer."""
        if self.finished or self.resumed or not self.ended_at:
            return 0
        return self.produced


@dataclasses.dataclass
class Sequence:
    """One request in the engine's queue or batch."""

    ledger_line: LedgerLine
    requested_tokens: int
    arrival_number: int
    block_digests: list[str] = dataclasses.field(default_factory=list)
    remaining_prefill_tokens: int = 0
    # Includes the tokens of the earlier request that this one resumes.
    total_produced: int = 0
    cancelled: bool = False
    # Numbers of the produced tokens, from 1, for the handler to send.
    token_numbers: asyncio.Queue[int] = dataclasses.field(
        default_factory=asyncio.Queue,
    )

    def is_done(self) -> bool:
        """Return whether the sequence is cancelled or fully produced."""
        return self.cancelled or self.total_produced >= self.requested_tokens
