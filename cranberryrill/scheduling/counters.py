"""Virtual token counters for fair sharing between organisations."""

from collections import abc


class VirtualTokenCounters:
    """Weighted count of the tokens served to each organisation of a class.

    The organisation with the lowest counter is served next. One that
    becomes active again is raised to the lowest counter of those that stayed
    active, so that neither idling nor reconnecting gains an advantage.
    """

    def __init__(self) -> None:
        self.counters: dict[str, float] = {}
        # Lowest counter among active organisations; it never decreases.
        self.base_value = 0.0

    def value(self, organisation: str) -> float:
        """Return the counter of an organisation, or the base if unknown."""
        return self.counters.get(organisation, self.base_value)

    def activate(self, organisation: str, active: abc.Collection[str]) -> None:
        """Raise an organisation without requests to the base value.

        `active` are the organisations that have requests already.
        """
        self.update_base(active)
        self.counters[organisation] = max(
            self.value(organisation), self.base_value
        )

    def charge(self, organisation: str, tokens: float, weight: float) -> None:
        """Add `tokens / weight`; negative tokens correct an estimate."""
        self.counters[organisation] = self.value(organisation) + tokens / weight

    def update_base(self, active: abc.Collection[str]) -> None:
        """Raise the base to the lowest active counter.

        Counters of inactive organisations at or below the base are dropped.
        """
        lowest = min(
            (self.value(name) for name in active), default=self.base_value
        )
        self.base_value = max(self.base_value, lowest)
        self.counters = {
            name: counter
            for name, counter in self.counters.items()
            if counter > self.base_value or name in active
        }
