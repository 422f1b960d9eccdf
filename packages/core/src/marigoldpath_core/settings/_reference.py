"""Generates the JSON Schema and the reference page from the definitions."""

from typing import Any

from ._definitions import DAEMON
from ._options import REQUIRED, Option, Section, bounds_text, option_type_of

TYPE_TITLES = {
    "section": "object",
    "sections": "list of objects",
    "names": "list of names",
}


def settings_schema() -> dict[str, Any]:
    """Return the JSON Schema (draft 2020-12) of a settings file."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "Settings of marigoldpathd",
        **_section_schema(DAEMON),
    }


def settings_reference() -> str:
    """Return the reference page of all settings in Markdown."""
    lines = [
        "# Settings",
        "",
        "The daemon `marigoldpathd` reads its settings from one JSON file and checks",
        "the whole file before it starts. To check a file by hand, run",
        "`marigoldpath settings check FILE`. `settings_reference()` makes this page.",
        "",
    ]
    for path, section in _all_sections(DAEMON, ""):
        lines.extend(_section_lines(path, section))
    return "\n".join(lines).rstrip() + "\n"


def _section_schema(section: Section) -> dict[str, Any]:
    required = [o.name for o in section.options if section.default(o) is REQUIRED]
    return {
        "type": "object",
        "additionalProperties": False,
        "properties": {o.name: _option_schema(section, o) for o in section.options},
        "required": required,
    }


def _option_schema(section: Section, option: Option) -> dict[str, Any]:
    text = f"{option.description} Unit: {option.unit}." if option.unit else ""
    schema: dict[str, Any] = {"description": text or option.description}
    if option.section is not None:
        nested = _section_schema(option.section)
        if option.type == "sections":
            nested = {"type": "array", "items": nested}
        return {**schema, **nested}
    default = section.default(option)
    if default is not REQUIRED:
        schema["default"] = default
    return {**schema, **option_type_of(option).schema(option)}


def _all_sections(section: Section, path: str) -> list[tuple[str, Section]]:
    found = [(path, section)]
    for option in section.options:
        if option.section is not None:
            suffix = "[]" if option.type == "sections" else ""
            inner = f"{path}.{option.name}" if path else option.name
            found.extend(_all_sections(option.section, inner + suffix))
    return found


def _section_lines(path: str, section: Section) -> list[str]:
    lines = [
        f"## `{path}`" if path else "## Top level",
        "",
        "| key | type | unit | default | allowed | meaning |",
        "|---|---|---|---|---|---|",
    ]
    for option in section.options:
        cells = (
            f"`{option.name}`",
            TYPE_TITLES.get(option.type, option.type),
            option.unit,
            _default_text(section, option),
            ", ".join(option.choices) or _bounds(option),
            option.description,
        )
        lines.append(f"| {' | '.join(cells)} |")
    return [*lines, ""]


def _bounds(option: Option) -> str:
    return bounds_text(option) if option.type in ("integer", "number") else ""


def _default_text(section: Section, option: Option) -> str:
    default = section.default(option)
    if default is REQUIRED:
        return "required"
    if option.type == "section":
        return "see below"
    if option.type == "sections":
        return "none"
    if isinstance(default, bool):
        return "true" if default else "false"
    if isinstance(default, str):
        return f"`{default}`" if default else "empty"
    return f"{default:,}"
