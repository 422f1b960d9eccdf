"""Tests of the command line."""

import contextlib
import io
import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from marigoldpath_cli import main
from marigoldpath_cli._config import ClientConfig, CommandOptions, client_config
from marigoldpath_cli._errors import CommandError
from marigoldpath_cli._exit_codes import MEANINGS, ExitCode, exit_codes_reference

ROOT = Path(__file__).resolve().parents[2]
SHEET = str(ROOT / "deploy/skala/sheet.csv")


def run(*arguments: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(arguments)
    return code, out.getvalue(), err.getvalue()


class CommandLineTests(unittest.TestCase):
    def test_a_usage_error_prints_one_line_without_a_stack_trace(self) -> None:
        for arguments in (
            ("statsu",),
            ("status", "--foo"),
            ("status", "extra"),
            ("status",),
            ("explain",),
            ("explain", "a/b", "-e", "127.0.0.1:1"),
            ("status", "-e", "nowhere"),
            ("status", "-e", "127.0.0.1:1", "--key", "a\nb"),
            ("sheet", "check", "no-such-file"),
            ("sheet", "apply", SHEET, "--base", "x"),
            ("report", "-e", "127.0.0.1:1", "--format", "pdf"),
        ):
            with mock.patch.dict(os.environ, clear=True):
                code, out, err = run(*arguments)
            self.assertEqual(code, ExitCode.WRONG_USE, arguments)
            self.assertEqual((out, err.count("\n")), ("", 1), arguments)

    def test_unreachable_entry_hosts_have_their_own_exit_code(self) -> None:
        code, _, err = run("status", "-e", "127.0.0.1:1", "-e", "127.0.0.1:2")
        self.assertEqual(code, ExitCode.UNREACHABLE)
        self.assertIn("127.0.0.1:2", err)

    def test_a_sheet_is_checked_without_an_entry_host(self) -> None:
        code, out, _ = run("sheet", "check", SHEET, "--json")
        self.assertEqual((code, json.loads(out)["kinds"]), (ExitCode.OK, 3))
        with tempfile.NamedTemporaryFile("w", suffix=".csv") as file:
            file.write("row,name,floor\nkind,a,2\nkind,b,x\n")
            file.flush()
            code, out, _ = run("sheet", "check", file.name, "--json")
            self.assertEqual(len(json.loads(out)["faults"]), 2)
            self.assertEqual(code, ExitCode.FAULTS)
            self.assertIn("floor", run("sheet", "check", file.name)[1])

    def test_settings_are_checked_and_their_schema_is_printed(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"hots": 1}')
            file.flush()
            code, out, _ = run("settings", "check", file.name)
        self.assertEqual(code, ExitCode.FAULTS)
        self.assertIn("did you mean 'host'?", out)
        self.assertIn("properties", json.loads(run("settings", "schema")[1]))


class ClientConfigTests(unittest.TestCase):
    def test_options_override_the_environment_and_that_the_file(self) -> None:
        environment = {"MARIGOLDPATH_ENTRY": "10.0.0.2:2, 10.0.0.3:3"}
        with tempfile.NamedTemporaryFile("w") as file:
            file.write('{"entry": ["10.0.0.4:4"], "key": "k", "reply_s": 2}')
            file.flush()
            options = CommandOptions(file=file.name)
            self.assertEqual(
                client_config(options, {}), ClientConfig(("10.0.0.4:4",), "k", 2.0)
            )
            config = client_config(options, environment)
            self.assertEqual(config.entries, ("10.0.0.2:2", "10.0.0.3:3"))
            options = options._replace(entry=("10.0.0.1:1",))
            config = client_config(options, environment)
            self.assertEqual(config.entries, ("10.0.0.1:1",))

    def test_an_invalid_file_is_a_usage_error(self) -> None:
        for text in ("", "[]", '{"entri": 1}', '{"key": 1}', '{"reply_s": "1"}'):
            with tempfile.NamedTemporaryFile("w") as file:
                file.write(text)
                file.flush()
                with self.assertRaises(CommandError) as caught:
                    client_config(CommandOptions(file=file.name), {})
                self.assertIs(caught.exception.exit_code, ExitCode.WRONG_USE)


class ExitCodeTests(unittest.TestCase):
    def test_the_committed_page_matches_the_generated_one(self) -> None:
        self.assertEqual(set(MEANINGS), set(ExitCode))
        page = (ROOT / "docs/reference/exit-codes.md").read_text(encoding="utf-8")
        self.assertEqual(page, exit_codes_reference())


if __name__ == "__main__":
    unittest.main()
