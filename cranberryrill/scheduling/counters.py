"""Count what each organisation of a class was given, by weight."""

from collections import abc


class VirtualTokenCounters:
    """Hold a virtual counter of tokens for each organisation.

    The organisation with the lowest counter is served next. One that comes
    back is lifted to the lowest counter of those that stayed, so that
    neither idling nor reconnecting earns anything.
    """

    def __init__(self) -> None:
        self.counters: dict[str, float] = {}
        # The lowest counter when somebody was last active.
        self.base_value = 0.0

    def value(self, organisation: str) -> float:
        """Return the counter of an organisation."""
        return self.counters.get(organisation, self.base_value)

    def activate(self, organisation: str, active: abc.Collection[str]) -> None:
        """Lift an organisation that had nothing waiting or running."""
        self.update_base(active)
        self.counters[organisation] = max(
            self.value(organisation), self.base_value
        )

    def charge(self, organisation: str, tokens: float, weight: float) -> None:
        """Add tokens to a counter; a negative number corrects an estimate."""
        self.counters[organisation] = self.value(organisation) + tokens / weight

    def update_base(self, active: abc.Collection[str]) -> None:
        """Remember the lowest active counter; drop those that idle below."""
        lowest = min(
            (self.value(name) for name in active), default=self.base_value
        )
        self.base_value = max(self.base_value, lowest)
        self.counters = {
            name: counter
            for name, counter in self.counters.items()
            if counter > self.base_value or name in active
        }
