"""Create the router that the settings select."""

import random

from cranberryrill.routing import routers

LEAST_LOADED = 'least-loaded'


def make_router(
    policy: str,
    data_centre: str,
    rng: random.Random,
) -> routers.Router:
    """Return the router for `policy`; the default is PredictedWaitRouter."""
    if policy == LEAST_LOADED:
        return routers.LeastLoadedRouter(data_centre, rng)
    return routers.PredictedWaitRouter(data_centre, rng)
