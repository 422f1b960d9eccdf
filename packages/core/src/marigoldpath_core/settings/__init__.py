"""Settings of the daemon, passed whole to the parts that use them."""

from ._model import (
    AccessKey,
    DaemonSettings,
    JournalSettings,
    LeadershipSettings,
    ListenSettings,
    ObservabilitySettings,
    RoutingSettings,
    SchedulerSettings,
)

__all__ = [
    "AccessKey",
    "DaemonSettings",
    "JournalSettings",
    "LeadershipSettings",
    "ListenSettings",
    "ObservabilitySettings",
    "RoutingSettings",
    "SchedulerSettings",
]
