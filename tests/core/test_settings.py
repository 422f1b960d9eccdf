"""Tests of the settings checks."""

import json
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

from marigoldpath_core.settings import (
    load_settings,
    settings_reference,
    settings_schema,
)
from marigoldpath_core.settings._definitions import DAEMON
from marigoldpath_core.settings._reference import _all_sections

ROOT = Path(__file__).resolve().parents[2]


def minimal(**changes: Any) -> dict[str, Any]:
    return {
        "host": "entry-1",
        "region": "jadran",
        "availability_zone": "zadar",
        "availability_zones": ["zadar", "sibenik"],
        "platform_address": "10.0.0.9:7000",
        **changes,
    }


def problems_of(value: Any) -> dict[str, str]:
    """Return the `expected` text of each problem, keyed by the setting's path."""
    found = load_settings(json.dumps(value)).unwrap_err()
    return {problem.path: problem.expected for problem in found}


class LoadSettingsTests(unittest.TestCase):
    def test_a_minimal_file_uses_defaults_for_optional_keys(self) -> None:
        settings = load_settings(json.dumps(minimal())).unwrap()
        self.assertEqual(settings.availability_zones, ("zadar", "sibenik"))
        self.assertEqual(settings.journal.interval_ms, 10)

    def test_all_problems_are_reported_at_once_with_their_paths(self) -> None:
        value = minimal(
            listen={"prot": 7400, "ip": "300.1.1.1"},
            journal={"interval_ms": "10"},
            kinds=[{"name": "a", "floor": 2}],
        )
        del value["host"]
        found = problems_of(value)
        self.assertEqual(
            set(found),
            {
                "host",
                "listen.prot",
                "listen.ip",
                "journal.interval_ms",
                "kinds[0].floor",
            },
        )
        self.assertEqual(found["listen.prot"], "did you mean 'port'?")

    def test_true_is_not_accepted_as_a_number(self) -> None:
        found = problems_of(minimal(listen={"port": True}))
        self.assertIn("whole number", found["listen.port"])

    def test_nan_is_not_accepted_as_a_fraction(self) -> None:
        found = problems_of(minimal(kinds=[{"name": "a", "floor": float("nan")}]))
        self.assertIn("kinds[0].floor", found)

    def test_a_duplicate_key_does_not_silently_replace_the_first(self) -> None:
        text = json.dumps(minimal())[:-1] + ', "host": "entry-2"}'
        self.assertEqual(load_settings(text).unwrap_err()[0].path, "host")

    def test_text_that_is_not_a_json_object_is_one_problem(self) -> None:
        for text in ("", "[", "[]", "[" * 100_000, "\x00"):
            self.assertEqual(len(load_settings(text).unwrap_err()), 1, text[:5])

    def test_inconsistent_settings_are_problems(self) -> None:
        found = problems_of(
            minimal(
                availability_zone="split",
                leadership={"beat_ms": 2_000},
                journal={"slots": 100},
                kinds=[{"name": "a", "floor": 0.7}, {"name": "a", "floor": 0.7}],
                keys=[{"key": "k" * 16, "role": "caller"}],
                scheduler={"queue_policy": "lifo"},
            )
        )
        self.assertEqual(
            set(found),
            {
                "availability_zone",
                "leadership.row_lease_ms",
                "leadership.claim_lease_ms",
                "journal.snapshot_after",
                "kinds[1].name",
                "kinds",
                "keys[0].team",
                "scheduler.queue_policy",
            },
        )

    def test_a_problem_never_contains_an_access_key(self) -> None:
        value = minimal(keys=[{"key": "short-secret", "role": "operator"}])
        shown = str(load_settings(json.dumps(value)).unwrap_err())
        self.assertNotIn("short-secret", shown)


class DefinitionTests(unittest.TestCase):
    def test_every_field_of_the_settings_objects_has_a_definition(self) -> None:
        for path, section in _all_sections(DAEMON, ""):
            names = tuple(option.name for option in section.options)
            self.assertEqual(names, section.model._fields, path)

    def test_the_schema_lists_the_required_keys(self) -> None:
        schema = settings_schema()
        self.assertIn("platform_address", schema["required"])
        self.assertEqual(schema["properties"]["listen"]["required"], [])
        json.dumps(schema)

    def test_the_committed_reference_page_is_up_to_date(self) -> None:
        page = (ROOT / "docs/reference/settings.md").read_text(encoding="utf-8")
        # The limits of a cell are no settings of the file; tests/docs checks them.
        keys, heading, _ = page.partition("\n## Limits of a cell\n")
        self.assertTrue(heading)
        self.assertEqual(keys, settings_reference())

    def test_the_import_does_not_load_modules_that_use_much_memory(self) -> None:
        code = (
            "import sys, marigoldpath_core.settings;"
            "print([m for m in ('difflib', 'argparse', 'csv', 'ipaddress',"
            " 'rich', 'asyncio') if m in sys.modules])"
        )
        command = [sys.executable, "-c", code]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        self.assertEqual(done.stdout.strip(), "[]")


if __name__ == "__main__":
    unittest.main()
