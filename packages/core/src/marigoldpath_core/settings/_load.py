"""Checks a settings file as a whole and builds the settings object."""

import json
from collections import Counter
from typing import Any

from result import Err, Ok, Result

from ._checks import check_together
from ._definitions import DAEMON
from ._model import DaemonSettings
from ._options import REQUIRED, Option, Section, SettingsProblem, type_of

MAX_SHOWN = 80


def load_settings(text: str) -> Result[DaemonSettings, list[SettingsProblem]]:
    """Return the settings in a JSON text, or every fault in it."""
    repeated: list[str] = []
    try:
        value = json.loads(text, object_pairs_hook=lambda p: _pairs(p, repeated))
    except ValueError as fault:
        return Err([SettingsProblem("", "not JSON", str(fault))])
    except RecursionError:
        return Err(
            [SettingsProblem("", "not JSON", "the values are nested too deeply")]
        )
    reader = _Reader()
    for key in repeated:
        reader.fault(key, "given twice", "give each key once")
    settings = reader.section(DAEMON, "", value)
    if not reader.faults:
        reader.faults.extend(check_together(settings))
    return Err(reader.faults) if reader.faults else Ok(settings)


def _pairs(pairs: list[tuple[str, Any]], repeated: list[str]) -> dict[str, Any]:
    counts = Counter(key for key, _ in pairs)
    repeated.extend(key for key, count in counts.items() if count > 1)
    return dict(pairs)


class _Reader:
    """Builds settings objects and collects the faults met on the way."""

    def __init__(self) -> None:
        self.faults: list[SettingsProblem] = []

    def fault(self, path: str, value: str, expected: str) -> None:
        self.faults.append(SettingsProblem(path, value, expected))

    def section(self, section: Section, path: str, value: Any) -> Any:
        """Return the model of a section, or None when the value has faults."""
        if not isinstance(value, dict):
            self.fault(path, _shown(value), "must be a JSON object")
            return None
        known = [option.name for option in section.options]
        for key in value:
            if key not in known:
                self.fault(_join(path, key), "unknown key", _nearest(key, known))
        before = len(self.faults)
        fields = {}
        for option in section.options:
            key_path = _join(path, option.name)
            if option.name in value:
                fields[option.name] = self.option(option, key_path, value[option.name])
            elif section.default(option) is REQUIRED:
                self.fault(key_path, "missing", f"add it: {option.description}")
        return section.model(**fields) if len(self.faults) == before else None

    def option(self, option: Option, path: str, value: Any) -> Any:
        """Return the checked value of an option."""
        if option.type == "section":
            assert option.section is not None
            return self.section(option.section, path, value)
        if option.type == "sections":
            assert option.section is not None
            return self.sections(option.section, path, value)
        try:
            return type_of(option).check(option, value)
        except ValueError as fault:
            shown = "(hidden)" if option.type == "secret" else _shown(value)
            self.fault(path, shown, str(fault))
            return None

    def sections(self, section: Section, path: str, value: Any) -> tuple[Any, ...]:
        """Return the models in a list of objects."""
        if not isinstance(value, list):
            self.fault(path, _shown(value), "must be a list of JSON objects")
            return ()
        return tuple(
            self.section(section, f"{path}[{index}]", item)
            for index, item in enumerate(value)
        )


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _shown(value: Any) -> str:
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."


def _nearest(key: str, known: list[str]) -> str:
    # Imported here because a correct file never needs it and the daemon's memory is
    # limited.
    from difflib import get_close_matches

    near = get_close_matches(key, known, n=1)
    if near:
        return f"did you mean {near[0]!r}?"
    return f"known keys: {', '.join(known)}"
