"""Say what a class and an organisation are entitled to at an agent."""

import dataclasses
import math
import typing
from collections import abc

from cranberryrill.configuration import active, document
from cranberryrill.relay import relay_pb2

MILLISECONDS_PER_SECOND = 1000
GetServing = abc.Callable[[], active.ActiveConfiguration]
UNKNOWN_CLASS_FLOOR = 0.05
UNKNOWN_CLASS_QUEUE_LIMIT = 64


@dataclasses.dataclass(frozen=True)
class ServiceLevel:
    """Hold the service level of one class; 1 is the highest tier."""

    name: str
    tier: int
    floor: float = UNKNOWN_CLASS_FLOOR
    queue_limit: int = UNKNOWN_CLASS_QUEUE_LIMIT
    first_token_seconds: float = math.inf

    def floor_slots(self, slots: int) -> int:
        """Return how many of `slots` the class keeps while it needs them."""
        return math.ceil(self.floor * slots)

    def protected_queue_length(self) -> int:
        """Return how many of its waiting requests no class pushes out."""
        return max(1, math.ceil(self.floor * self.queue_limit))


class ServiceLevels(typing.Protocol):
    """Answer what the configuration in force says."""

    def level(self, call: relay_pb2.Call) -> ServiceLevel:
        """Return the level of a request's class."""

    def weight(self, organisation: str) -> float:
        """Return an organisation's share against others."""


class ConfiguredLevels:
    """Read levels from the configuration that this process has in force."""

    def __init__(self, get_serving: GetServing) -> None:
        self.get_serving = get_serving

    def level(self, call: relay_pb2.Call) -> ServiceLevel:
        """Return the configured level, or what the call says of itself."""
        known = self.get_serving().find(
            document.RequestClass,
            'classes',
            call.class_name,
        )
        if known is None:
            return _unknown_level(call)
        return ServiceLevel(
            name=known.name,
            tier=known.tier,
            floor=known.floor,
            queue_limit=known.queue_limit,
            first_token_seconds=known.first_token_ms / MILLISECONDS_PER_SECOND,
        )

    def weight(self, organisation: str) -> float:
        """Return the configured weight; 1 for one not known yet."""
        known = self.get_serving().find(
            document.Organisation,
            'organisations',
            organisation,
        )
        return 1 if known is None else known.weight


def _unknown_level(call: relay_pb2.Call) -> ServiceLevel:
    # The entry may know a class before this agent does.
    target = call.first_token_ms / MILLISECONDS_PER_SECOND
    return ServiceLevel(
        name=call.class_name,
        tier=call.tier or document.LOWEST_TIER,
        first_token_seconds=target or math.inf,
    )
