"""Make the router that the settings name."""

import random

from cranberryrill.routing import routers

LEAST_LOADED = 'least-loaded'


def make_router(
    name: str,
    data_centre: str,
    rng: random.Random,
) -> routers.Router:
    """Return the router of this name."""
    if name == LEAST_LOADED:
        return routers.LeastLoadedRouter(data_centre, rng)
    return routers.PredictedWaitRouter(data_centre, rng)
