"""Commands on settings files; they need no entry host."""

import json

from marigoldpath_core.settings import (
    load_settings,
    settings_reference,
    settings_schema,
)

from ._errors import CommandError
from ._exit_codes import ExitCode
from ._files import read_file
from ._view import Document, Lines, Table, View


def check_settings(name: str) -> View:
    """Return the problems of a settings file."""
    try:
        text = read_file(name).decode("utf-8-sig")
    except UnicodeDecodeError:
        raise CommandError(ExitCode.FAULTS, f"{name} is not UTF-8 text") from None
    loaded = load_settings(text)
    if loaded.is_ok():
        return View({"file": name, "faults": []}, (Lines((f"{name} is right",)),))
    problems = loaded.unwrap_err()
    rows = tuple((each.path, each.value, each.expected) for each in problems)
    table = Table(f"{name}: {len(problems)} to correct", ("key", "value", "fix"), rows)
    payload = {"file": name, "faults": [each._asdict() for each in problems]}
    return View(payload, (table,), ExitCode.FAULTS)


def show_schema(markdown: bool) -> View:
    """Return the JSON Schema of settings files, or their reference page."""
    schema = settings_schema()
    if markdown:
        return View(schema, (Document(settings_reference()),))
    return View(schema, (Document(json.dumps(schema, indent=2) + "\n"),))
