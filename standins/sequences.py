"""Hold what a model engine knows of each request."""

import asyncio
import dataclasses


@dataclasses.dataclass
class LedgerLine:
    """Record what one request had of the engine; times are monotonic."""

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
    # Tokens of this request that its resumed successor delivered again or on.
    resumed_from: int = 0
    resumed: bool = False
    cached_tokens: int = 0

    def wasted_tokens(self) -> int:
        """Return the tokens that no whole answer contains."""
        if self.finished or self.resumed or not self.ended_at:
            return 0
        return self.produced


@dataclasses.dataclass
class Sequence:
    """Hold one request that the engine works on."""

    line: LedgerLine
    wanted_tokens: int
    order: int
    blocks: list[str] = dataclasses.field(default_factory=list)
    prefill_left: int = 0
    produced: int = 0
    cancelled: bool = False
    tokens: asyncio.Queue[int] = dataclasses.field(
        default_factory=asyncio.Queue,
    )

    def is_done(self) -> bool:
        """Say whether the engine need not work on it any more."""
        return self.cancelled or self.produced >= self.wanted_tokens
