"""What a request would meet in its own data centre and in others."""

import dataclasses
import enum


class Cause(enum.Enum):
    """Why a request leaves its data centre."""

    # No upstream of the service may be used there.
    none_at_home = 'none_at_home'
    # Its target is at risk there.
    target = 'target'
    # The gaps of its stream would be too long there.
    gap = 'gap'
    # Others of its service would be at risk from it there.
    others = 'others'
    # It gains a large share of its target elsewhere.
    gain = 'gain'
    # All slots of a plain service are taken there.
    slots = 'slots'


@dataclasses.dataclass(frozen=True)
class Need:
    """Properties of a request on which leaving depends."""

    service: str = ''
    # Differs for each request.
    key: str = ''
    # Latency target of its route; 0 if it has none.
    target_ms: float = 0
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class Home:
    """The best that the own data centre offers.

    `cost` has the unit of the costs elsewhere. `pressure` is 1 where the
    request is at risk from, which `cause` explains.
    """

    cost: float
    pressure: float
    cause: Cause


@dataclasses.dataclass(frozen=True)
class Neighbour:
    """The best that another data centre offers.

    `cost` includes the way. `free` is its free capacity, in any unit that is
    the same for all neighbours. `fits` is whether the request would be on time.
    """

    data_centre: str
    cost: float
    free: float
    fits: bool


@dataclasses.dataclass(frozen=True)
class Scale:
    """Gains, in the unit of the costs, from which leaving pays.

    At least `least` in any case, `large` if the request is not at risk, and
    `late` if it would be late elsewhere, too.
    """

    least: float
    large: float
    late: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """Data centre for a request; `cause` is None if it stays."""

    data_centre: str
    cause: Cause | None = None
