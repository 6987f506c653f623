"""Make the scheduler that the settings name."""

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
    held: levels.GetServing,
    now: float,
) -> scheduler.Scheduler:
    """Return a scheduler for the upstream's slots."""
    if settings.scheduling == FIRST_COME:
        return first_come.FirstComeScheduler(
            settings.slots,
            FIRST_COME_QUEUE_LIMIT,
            decisions.LogRecorder(),
        )
    told = levels.ConfiguredLevels(held)
    return tiers.TierScheduler(
        settings.slots, told, decisions.LogRecorder(), now
    )
