"""Settings of the daemon, passed as one object to the components that use them."""

from ._load import load_settings
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
from ._options import OPTION_TYPES, Option, OptionType, SettingsProblem, option_type
from ._reference import settings_reference, settings_schema

__all__ = [
    "OPTION_TYPES",
    "AccessKey",
    "DaemonSettings",
    "JournalSettings",
    "LeadershipSettings",
    "ListenSettings",
    "ObservabilitySettings",
    "Option",
    "OptionType",
    "RoutingSettings",
    "SchedulerSettings",
    "SettingsProblem",
    "load_settings",
    "option_type",
    "settings_reference",
    "settings_schema",
]
