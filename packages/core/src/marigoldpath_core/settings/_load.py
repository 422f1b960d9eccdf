"""Checks a whole settings file and builds the settings object."""

import json
from collections import Counter
from typing import Any

from result import Err, Ok, Result

from ._checks import check_consistency
from ._definitions import DAEMON
from ._model import DaemonSettings
from ._options import REQUIRED, Option, Section, SettingsProblem, option_type_of

MAX_SHOWN_LENGTH = 80


def load_settings(text: str) -> Result[DaemonSettings, list[SettingsProblem]]:
    """Return the settings in a JSON text, or all problems found in the text.

    The consistency checks run only if each setting is valid on its own.
    """
    duplicate_keys: list[str] = []
    try:
        value = json.loads(
            text, object_pairs_hook=lambda p: _to_dict(p, duplicate_keys)
        )
    except ValueError as error:
        return Err([SettingsProblem("", "not JSON", str(error))])
    except RecursionError:
        return Err(
            [SettingsProblem("", "not JSON", "the values are nested too deeply")]
        )
    reader = _Reader()
    for key in duplicate_keys:
        reader.add_problem(key, "given twice", "give each key once")
    settings = reader.read_section(DAEMON, "", value)
    if not reader.problems:
        reader.problems.extend(check_consistency(settings))
    return Err(reader.problems) if reader.problems else Ok(settings)


def _to_dict(pairs: list[tuple[str, Any]], duplicate_keys: list[str]) -> dict[str, Any]:
    counts = Counter(key for key, _ in pairs)
    duplicate_keys.extend(key for key, count in counts.items() if count > 1)
    return dict(pairs)


class _Reader:
    """Builds settings objects and collects the problems it finds."""

    def __init__(self) -> None:
        self.problems: list[SettingsProblem] = []

    def add_problem(self, path: str, value: str, expected: str) -> None:
        self.problems.append(SettingsProblem(path, value, expected))

    def read_section(self, section: Section, path: str, value: Any) -> Any:
        """Return the settings object of a section, or None if it has problems."""
        if not isinstance(value, dict):
            self.add_problem(path, _shorten(value), "must be a JSON object")
            return None
        known_keys = [option.name for option in section.options]
        for key in value:
            if key not in known_keys:
                self.add_problem(
                    _join(path, key), "unknown key", _suggest_key(key, known_keys)
                )
        before = len(self.problems)
        fields = {}
        for option in section.options:
            key_path = _join(path, option.name)
            if option.name in value:
                fields[option.name] = self.read_option(
                    option, key_path, value[option.name]
                )
            elif section.default(option) is REQUIRED:
                self.add_problem(key_path, "missing", f"add it: {option.description}")
        return section.model(**fields) if len(self.problems) == before else None

    def read_option(self, option: Option, path: str, value: Any) -> Any:
        """Return the checked value of an option, or None if it has problems."""
        if option.type == "section":
            assert option.section is not None
            return self.read_section(option.section, path, value)
        if option.type == "sections":
            assert option.section is not None
            return self.read_sections(option.section, path, value)
        try:
            return option_type_of(option).check(option, value)
        except ValueError as error:
            shown = "(hidden)" if option.type == "secret" else _shorten(value)
            self.add_problem(path, shown, str(error))
            return None

    def read_sections(self, section: Section, path: str, value: Any) -> tuple[Any, ...]:
        """Return the settings objects in a list of JSON objects."""
        if not isinstance(value, list):
            self.add_problem(path, _shorten(value), "must be a list of JSON objects")
            return ()
        return tuple(
            self.read_section(section, f"{path}[{index}]", item)
            for index, item in enumerate(value)
        )


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _shorten(value: Any) -> str:
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= MAX_SHOWN_LENGTH else f"{text[:MAX_SHOWN_LENGTH]}..."


def _suggest_key(key: str, known_keys: list[str]) -> str:
    # Imported only for a file with an unknown key, to save memory in the daemon, whose
    # memory is limited.
    from difflib import get_close_matches

    matches = get_close_matches(key, known_keys, n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"known keys: {', '.join(known_keys)}"
