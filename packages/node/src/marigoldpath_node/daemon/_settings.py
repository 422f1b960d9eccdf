"""Reads the settings from JSON."""

import json
from typing import Any, get_args, get_origin, get_type_hints

from marigoldpath_core.settings import DaemonSettings


class SettingsError(Exception):
    """The settings cannot be used; the message names the field."""


def load_settings(text: str) -> DaemonSettings:
    """Return the settings in a JSON text; raises SettingsError."""
    try:
        return _decode(DaemonSettings, json.loads(text), "settings")
    except ValueError as fault:
        raise SettingsError(f"the settings are not JSON: {fault}") from fault


def _decode(kind: Any, value: Any, path: str) -> Any:
    if get_origin(kind) is tuple:
        if not isinstance(value, list):
            raise SettingsError(f"{path} must be a list")
        item = get_args(kind)[0]
        return tuple(
            _decode(item, each, f"{path}[{index}]") for index, each in enumerate(value)
        )
    if hasattr(kind, "_fields"):
        return _decode_fields(kind, value, path)
    wanted = (int, float) if kind is float else kind
    if not isinstance(value, wanted) or (isinstance(value, bool) and kind is not bool):
        raise SettingsError(f"{path} must be of type {kind.__name__}")
    return value


def _decode_fields(kind: Any, value: Any, path: str) -> Any:
    if not isinstance(value, dict):
        raise SettingsError(f"{path} must be an object")
    hints = get_type_hints(kind)
    unknown = sorted(set(value) - set(kind._fields))
    if unknown:
        raise SettingsError(f"{path} has no field {unknown[0]!r}")
    missing = sorted(set(kind._fields) - set(kind._field_defaults) - set(value))
    if missing:
        raise SettingsError(f"{path}.{missing[0]} is missing")
    fields = {
        name: _decode(hints[name], each, f"{path}.{name}")
        for name, each in value.items()
    }
    return kind(**fields)
