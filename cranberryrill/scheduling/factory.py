"""Create the scheduler that the settings select."""

from cranberryrill.scheduling import (
    decisions,
    first_come,
    levels,
    scheduler,
    tiers,
)
from cranberryrill.settings import schema

FIRST_COME = 'first-come'
FIRST_COME_QUEUE_LIMIT = 256


def make_scheduler(
    settings: schema.UpstreamSettings,
    get_configuration: levels.GetConfiguration,
    now: float,
) -> scheduler.Scheduler:
    """Return the scheduler for an upstream; the default is TierScheduler."""
    if settings.scheduling == FIRST_COME:
        return first_come.FirstComeScheduler(
            settings.slots,
            FIRST_COME_QUEUE_LIMIT,
            decisions.LogRecorder(),
        )
    service_levels = levels.ConfiguredLevels(get_configuration)
    return tiers.TierScheduler(
        settings.slots, service_levels, decisions.LogRecorder(), now
    )
