"""Decide whether a request leaves its data centre.

A request leaves only if it gains more than the way costs, and either it is at
risk in its own data centre or the gain is large. Each service has a flow to
each other data centre, which opens and closes with hysteresis; the share of
the requests that leaves grows in proportion to the pressure.
"""

from collections import abc

from cranberryrill.spillover import flow, offers, spread

# Part of the cost at home that leaving must gain: longer predictions are less
# exact, and under a general overload requests would only be exchanged.
LEAST_GAIN_OF_COST = 0.1
# Weight of a data centre that has no free capacity where all have none.
NO_CAPACITY_WEIGHT = 1e-6


class Policy:
    """Flows of all services from one data centre."""

    def __init__(self) -> None:
        self.flows: dict[tuple[str, str], flow.Flow] = {}

    def flow(self, service: str, data_centre: str) -> flow.Flow:
        """Return the flow of a service to a data centre."""
        return self.flows.setdefault((service, data_centre), flow.Flow())

    def decide(
        self,
        need: offers.Need,
        home: tuple[str, offers.Home | None],
        neighbours: abc.Sequence[offers.Neighbour],
        scale: offers.Scale,
        now: float,
    ) -> offers.Decision:
        """Return where a request is sent.

        `home` is the own data centre and what it offers, None if nothing is
        usable there. The costs have the unit of `scale`.
        """
        own, offered = home
        if offered is None:
            return offers.Decision(
                _choose(need.key, neighbours).data_centre,
                offers.Cause.none_at_home,
            )
        worthwhile: list[offers.Neighbour] = []
        shares: dict[str, float] = {}
        for neighbour in neighbours:
            pressure = _pressure(offered, neighbour, scale)
            service_flow = self.flow(need.service, neighbour.data_centre)
            service_flow.record(pressure, now)
            shares[neighbour.data_centre] = service_flow.share(pressure)
            if shares[neighbour.data_centre] > 0:
                worthwhile.append(neighbour)
        if not worthwhile:
            return offers.Decision(own)
        chosen = _choose(need.key, worthwhile)
        if spread.uniform(need.key) >= shares[chosen.data_centre]:
            return offers.Decision(own)
        return offers.Decision(
            chosen.data_centre, _cause(offered, chosen, scale)
        )


def _pressure(
    home: offers.Home, neighbour: offers.Neighbour, scale: offers.Scale
) -> float:
    """Return how much speaks for leaving; from 1 on it is worthwhile."""
    gain = home.cost - neighbour.cost
    least = max(scale.least, home.cost * LEAST_GAIN_OF_COST)
    if gain < least or gain <= 0:
        return 0
    if not neighbour.fits:
        return gain / scale.late
    return max(home.pressure, gain / scale.large)


def _cause(
    home: offers.Home, neighbour: offers.Neighbour, scale: offers.Scale
) -> offers.Cause:
    gain = home.cost - neighbour.cost
    if neighbour.fits and home.pressure >= gain / scale.large:
        return home.cause
    return offers.Cause.gain


def _choose(
    key: str, neighbours: abc.Sequence[offers.Neighbour]
) -> offers.Neighbour:
    """Return a data centre, in proportion to the free capacity."""
    if not any(each.free > 0 for each in neighbours):
        return min(neighbours, key=lambda each: each.cost)
    by_name = {each.data_centre: each for each in neighbours}
    weights = {
        name: max(each.free, NO_CAPACITY_WEIGHT)
        for name, each in by_name.items()
    }
    return by_name[spread.choose(key, weights)]
