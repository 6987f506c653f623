"""Service levels of request classes and weights of organisations."""

import dataclasses
import math
import typing
from collections import abc

from cranberryrill import durations
from cranberryrill.configuration import active, document
from cranberryrill.relay import relay_pb2

MILLISECONDS_PER_SECOND = 1000
GetConfiguration = abc.Callable[[], active.ActiveConfiguration]
# Defaults for a class that the configuration in force doesn't contain.
UNKNOWN_CLASS_FLOOR = 0.05
UNKNOWN_CLASS_QUEUE_LIMIT = 64


@dataclasses.dataclass(frozen=True)
class ServiceLevel:
    """Service level of one class.

    Tier 1 is the highest. `floor` is the share of slots and queue positions
    that the class keeps, from 0 to 1. `first_token_seconds` is the target for
    the first token; infinity means no target.
    """

    name: str
    tier: int
    floor: float = UNKNOWN_CLASS_FLOOR
    queue_limit: int = UNKNOWN_CLASS_QUEUE_LIMIT
    first_token_seconds: float = math.inf

    def floor_slots(self, slots: int) -> int:
        """Return how many of `slots` the class keeps while it needs them.

        The floor's share is rounded up.
        """
        return math.ceil(self.floor * slots)

    def protected_queue_length(self) -> int:
        """Return how many waiting requests other classes can't evict."""
        return max(1, math.ceil(self.floor * self.queue_limit))


class ServiceLevels(typing.Protocol):
    """Source of service levels and weights."""

    def level(self, call: relay_pb2.Call) -> ServiceLevel:
        """Return the service level of the call's class."""

    def weight(self, organisation: str) -> float:
        """Return an organisation's weight relative to others."""


class ConfiguredLevels:
    """Service levels from the configuration in force in this process."""

    def __init__(self, get_configuration: GetConfiguration) -> None:
        self.get_configuration = get_configuration

    def level(self, call: relay_pb2.Call) -> ServiceLevel:
        """Return the configured level, or one built from the call's fields."""
        configured = self.get_configuration().find(
            document.RequestClass,
            'classes',
            call.class_name,
        )
        if configured is None:
            return _unknown_level(call)
        return ServiceLevel(
            name=configured.name,
            tier=configured.tier,
            floor=configured.floor,
            queue_limit=configured.queue_limit,
            first_token_seconds=durations.bounded_ms(configured.first_token_ms)
            / MILLISECONDS_PER_SECOND,
        )

    def weight(self, organisation: str) -> float:
        """Return the configured weight; 1 for an unknown organisation."""
        configured = self.get_configuration().find(
            document.Organisation,
            'organisations',
            organisation,
        )
        return 1 if configured is None else configured.weight


def _unknown_level(call: relay_pb2.Call) -> ServiceLevel:
    # An entry may receive a configuration with a new class before this agent.
    first_token_seconds = call.first_token_ms / MILLISECONDS_PER_SECOND
    return ServiceLevel(
        name=call.class_name,
        tier=call.tier or document.LOWEST_TIER,
        first_token_seconds=first_token_seconds or math.inf,
    )
