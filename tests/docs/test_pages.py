"""Tests that the documentation matches the code.

Links, commands and make targets on the pages must exist. The reference pages must list
exactly the log events, metrics, spans and routes of the code.
"""

import ast
import contextlib
import io
import re
import shlex
import subprocess
import unittest
from collections.abc import Iterator
from pathlib import Path

from marigoldpath_cli import main
from marigoldpath_core.fleet import FleetSettings
from marigoldpath_node.api._registry import ROUTES
from marigoldpath_node.cell import CellSettings
from marigoldpath_node.exposition import CellMetrics

ROOT = Path(__file__).resolve().parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
CELL_FOLDERS = ("/fleet/", "/cell/", "/marigoldpath_platform/")
ALL_SOURCES = [
    path
    for folder in ("packages/core", "packages/node", "platform")
    for path in sorted((ROOT / folder).rglob("*.py"))
]
# The log events of these sources are documented in OPERATIONS.md.
CELL_SOURCES = [
    path
    for path in ALL_SOURCES
    if any(name in path.as_posix() for name in CELL_FOLDERS)
]
SOURCES = [path for path in ALL_SOURCES if path not in CELL_SOURCES]
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ +(.+)$", re.MULTILINE)
CODE_BLOCK = re.compile(r"^ *```.*?^ *```", re.MULTILINE | re.DOTALL)
INLINE_CODE = re.compile(r"`([^`\n]+)`")
CODE_IN_FIRST_COLUMN = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "critical", "exception"})
# Arguments of log calls that hold an event name chosen by a caller.
FORWARDED_EVENTS = frozenset({"event", "effect.event", "record.getMessage()"})
MACHINE_PATH = re.compile(r"(?<![\w.$}])/(?:home|root|work|Users|workspace)/\w")
PACKAGE_INDEX = re.compile(
    r"\bpypi\.|files\.pythonhosted|index-url|/simple/", re.IGNORECASE
)


def read_page(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def read_section(text: str, title: str) -> str:
    """Return the text below a second-level heading."""
    return text.split(f"\n## {title}\n", 1)[1].split("\n## ", 1)[0]


def slugify(heading: str) -> str:
    """Return the anchor of a heading."""
    return re.sub(r"[^\w\- ]", "", heading.lower()).strip().replace(" ", "-")


def heading_anchors(path: Path) -> set[str]:
    """Return the anchors of all headings of a page."""
    return {slugify(heading) for heading in HEADING.findall(path.read_text())}


def code_lines(text: str) -> Iterator[str]:
    """Yield each line of the code blocks and each inline code span."""
    for block in CODE_BLOCK.findall(text):
        yield from block.replace("\\\n", " ").splitlines()[1:-1]
    yield from INLINE_CODE.findall(CODE_BLOCK.sub("", text))


def documented_commands(program: str) -> Iterator[tuple[str, list[str]]]:
    """Yield the page and the arguments of each documented call of a program."""
    for path in PAGES:
        for line in code_lines(path.read_text()):
            found = re.match(rf"(?:\$ )?{program} (.+)", line.strip())
            if found:
                yield path.name, shlex.split(found[1], comments=True)


class LinkTests(unittest.TestCase):
    """Guards against links to pages and headings that were moved or renamed."""

    def test_links_between_pages_resolve(self) -> None:
        broken = []
        for path in PAGES:
            for link in LINK.findall(CODE_BLOCK.sub("", path.read_text())):
                if "://" in link:
                    continue
                name, _, anchor = link.partition("#")
                target = path.parent / name if name else path
                if not target.exists() or (
                    anchor and anchor not in heading_anchors(target)
                ):
                    broken.append(f"{path.name}: {link}")
        self.assertEqual(broken, [])


class CommandTests(unittest.TestCase):
    """Guards against documented commands, options and targets that do not exist."""

    def test_make_targets_exist(self) -> None:
        targets = set(
            re.findall(r"^([a-z-]+):", (ROOT / "Makefile").read_text(), re.MULTILINE)
        )
        documented = [
            (name, word)
            for name, words in documented_commands("make")
            for word in words
            if "=" not in word
        ]
        self.assertTrue(documented)
        self.assertEqual([each for each in documented if each[1] not in targets], [])

    def test_commands_and_options_are_in_the_help_text(self) -> None:
        global_help = self.help([])
        wrong = []
        for name, words in documented_commands("marigoldpath"):
            command = self.command_path(words)
            text = self.help(command)
            options = {word.split("=")[0] for word in words if word.startswith("-")}
            known = set(re.findall(r"(?<!\w)--?[a-z][a-z-]*", text + global_help))
            if not command or not text or options - known - {"--help"}:
                wrong.append((name, words))
        self.assertEqual(wrong, [])

    def command_path(self, words: list[str]) -> list[str]:
        """Return the command, preceded by its group if it belongs to one."""
        names = [word for word in words if re.fullmatch(r"[a-z]+", word)][:2]
        return names if names[:1] in (["sheet"], ["settings"]) else names[:1]

    def help(self, command: list[str]) -> str:
        """Return the help text of a command, or "" if the command does not exist."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = main([*command, "--help"])
        return output.getvalue() if code == 0 else ""


def emitted_names(
    matcher: "type[CallMatcher]",
    forwarded: frozenset[str],
    sources: list[Path] = SOURCES,
) -> set[str]:
    """Return the first argument of each matching call, with `*` for a placeholder."""
    names = set()
    for path in sources:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if matcher.matches(node.func):
                names.update(_names(node.args[0], forwarded))
    return names


def _names(argument: ast.expr, forwarded: frozenset[str]) -> set[str]:
    if isinstance(argument, ast.Constant):
        return {str(argument.value)}
    if isinstance(argument, ast.JoinedStr):
        parts = [
            str(part.value) if isinstance(part, ast.Constant) else "*"
            for part in argument.values
        ]
        return {"".join(parts)}
    text = ast.unparse(argument)
    return set() if text in forwarded else {f"not a literal: {text}"}


class CallMatcher:
    """Recognizes the calls that emit a log event, a metric or a span."""

    @staticmethod
    def matches(function: ast.expr) -> bool:
        raise NotImplementedError


class LogCalls(CallMatcher):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        if isinstance(function, ast.Name):
            return function.id == "Log"
        if not isinstance(function, ast.Attribute):
            return False
        owner = ast.unparse(function.value).split(".")[-1]
        is_log_method = function.attr in LOG_METHODS and owner in ("log", "_log")
        return is_log_method or (function.attr == "log" and owner == "zone")


class CellLogCalls(CallMatcher):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        if not isinstance(function, ast.Attribute):
            return False
        owner = ast.unparse(function.value).split(".")[-1]
        if owner in ("log", "_log"):
            return function.attr in LOG_METHODS
        return function.attr == "log" and owner in ("fleet", "self")


class MetricCalls(CallMatcher):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        return (
            isinstance(function, ast.Attribute)
            and function.attr in ("count", "gauge")
            and ast.unparse(function.value).split(".")[-1] == "metrics"
        )


class ZoneCounterCalls(CallMatcher):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        return ast.unparse(function) == "zone.count"


class SpanCalls(CallMatcher):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        return ast.unparse(function).endswith("spans.start")


class ReferenceTests(unittest.TestCase):
    """Guards against reference pages that lack a name of the code or list another."""

    def documented_names(self, text: str) -> set[str]:
        """Return the code in the first column of tables, with `*` for parameters."""
        return {
            re.sub(r"<\w+>", "*", name) for name in CODE_IN_FIRST_COLUMN.findall(text)
        }

    def test_log_events(self) -> None:
        emitted = emitted_names(LogCalls, FORWARDED_EVENTS)
        # The logger writes this event in place of a line that is too long.
        emitted.add("log_line_too_long")
        self.assertEqual(
            self.documented_names(read_page("reference/log-events.md")), emitted
        )

    def test_log_events_of_the_cell(self) -> None:
        text = read_section(read_page("OPERATIONS.md"), "Logs")
        emitted = emitted_names(
            CellLogCalls, frozenset({"log_event.event"}), CELL_SOURCES
        )
        self.assertEqual(self.documented_names(text), emitted)

    def test_metrics_of_the_cell(self) -> None:
        text = read_section(read_page("OPERATIONS.md"), "Metrics")
        metrics = CellMetrics()
        metrics.count_submission("accepted")
        metrics.count_decision("run_ended")
        metrics.count_termination("done")
        metrics.observe_call("commit", 0.1)
        served = re.findall(r"^# TYPE (\S+)", metrics.render(0).decode(), re.MULTILINE)
        documented = {name.partition("{")[0] for name in self.documented_names(text)}
        exported = {name for name in served if not name.endswith("_created")}
        self.assertEqual(documented, exported)

    def test_metrics(self) -> None:
        text = read_section(read_page("reference/metrics.md"), "Metrics")
        self.assertEqual(
            self.documented_names(text), emitted_names(MetricCalls, frozenset())
        )

    def test_counters_of_a_zone(self) -> None:
        text = read_section(read_page("reference/metrics.md"), "Counters of a zone")
        self.assertEqual(
            self.documented_names(text), emitted_names(ZoneCounterCalls, frozenset())
        )

    def test_spans(self) -> None:
        text = read_page("reference/spans.md")
        self.assertEqual(
            self.documented_names(text), emitted_names(SpanCalls, frozenset())
        )

    def test_routes(self) -> None:
        documented = set(
            re.findall(r"^### `([A-Z]+ /v1/\S+)`", read_page("reference/http.md"), re.M)
        )
        self.assertEqual(documented, {f"{method} {path}" for method, path in ROUTES})

    def test_limits_of_a_cell(self) -> None:
        text = read_section(read_page("reference/settings.md"), "Limits of a cell")
        rows = re.findall(r"^\| (\w+) \| \w+ \| ([\d,.]+) \|", text, re.MULTILINE)
        defaults = {**CellSettings._field_defaults, **FleetSettings._field_defaults}
        self.assertTrue(rows)
        for name, value in rows:
            with self.subTest(field=name):
                self.assertEqual(float(value.replace(",", "")), defaults[name])


class TrackedFileTests(unittest.TestCase):
    """Guards against paths and package indexes of one machine in published files."""

    def test_files_contain_no_machine_path_and_no_package_index(self) -> None:
        tracked = subprocess.run(
            ["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, check=True
        )
        found = []
        for name in tracked.stdout.decode().split("\0"):
            path = ROOT / name
            if not name or path == Path(__file__) or not path.is_file():
                continue
            # The benchmark journal contains copies of the sources, including this file.
            if name.startswith("journal/blobs/"):
                continue
            for number, line in enumerate(
                path.read_text(errors="replace").splitlines(), 1
            ):
                if MACHINE_PATH.search(line) or PACKAGE_INDEX.search(line):
                    found.append(f"{name}:{number}: {line.strip():.80}")
        self.assertEqual(found, [])
