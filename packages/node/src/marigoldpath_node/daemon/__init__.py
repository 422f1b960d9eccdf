"""The daemon `marigoldpathd`."""

from ._daemon import Daemon
from ._main import main
from ._settings import SettingsError, load_settings

__all__ = ["Daemon", "SettingsError", "load_settings", "main"]
