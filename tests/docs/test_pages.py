"""Tests of the pages: they name only what exists, and all that they must name."""

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
from marigoldpath_node.api._registry import ROUTES
from marigoldpath_node.exposition import CellMetrics

ROOT = Path(__file__).resolve().parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
CELL_FOLDERS = ("/fleet/", "/cell/", "/marigoldpath_platform/")
ALL_SOURCES = [
    path
    for folder in ("packages/core", "packages/node", "platform")
    for path in sorted((ROOT / folder).rglob("*.py"))
]
# The cell's events have a page of their own.
CELL_SOURCES = [
    path
    for path in ALL_SOURCES
    if any(name in path.as_posix() for name in CELL_FOLDERS)
]
SOURCES = [path for path in ALL_SOURCES if path not in CELL_SOURCES]
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ +(.+)$", re.MULTILINE)
FENCE = re.compile(r"^ *```.*?^ *```", re.MULTILINE | re.DOTALL)
CODE = re.compile(r"`([^`\n]+)`")
FIRST_CELL = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)
LEVELS = frozenset({"debug", "info", "warning", "error", "critical", "exception"})
# Functions that pass on an event named by their caller.
PASSING_ON = frozenset({"event", "effect.event", "record.getMessage()"})
MACHINE_PATH = re.compile(r"(?<![\w.$}])/(?:home|root|work|Users|workspace)/\w")
REGISTRY = re.compile(r"\bpypi\.|files\.pythonhosted|index-url|/simple/", re.IGNORECASE)


def page(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def section(text: str, title: str) -> str:
    """Return the text under a heading of the second level."""
    return text.split(f"\n## {title}\n", 1)[1].split("\n## ", 1)[0]


def slug(heading: str) -> str:
    return re.sub(r"[^\w\- ]", "", heading.lower()).strip().replace(" ", "-")


def slugs(path: Path) -> set[str]:
    """Return the anchors of a page's headings."""
    return {slug(heading) for heading in HEADING.findall(path.read_text())}


def code_lines(text: str) -> Iterator[str]:
    """Yield each line of code blocks and each piece of code within the text."""
    for block in FENCE.findall(text):
        yield from block.replace("\\\n", " ").splitlines()[1:-1]
    yield from CODE.findall(FENCE.sub("", text))


def commands(program: str) -> Iterator[tuple[str, list[str]]]:
    """Yield the page and the words after the program's name."""
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
            for link in LINK.findall(FENCE.sub("", path.read_text())):
                if "://" in link:
                    continue
                name, _, anchor = link.partition("#")
                target = path.parent / name if name else path
                if not target.exists() or (anchor and anchor not in slugs(target)):
                    broken.append(f"{path.name}: {link}")
        self.assertEqual(broken, [])


class CommandTests(unittest.TestCase):
    """Guards against commands on the pages that do not exist."""

    def test_make_targets_exist(self) -> None:
        targets = set(
            re.findall(r"^([a-z-]+):", (ROOT / "Makefile").read_text(), re.MULTILINE)
        )
        named = [
            (name, word)
            for name, words in commands("make")
            for word in words
            if "=" not in word
        ]
        self.assertTrue(named)
        self.assertEqual([each for each in named if each[1] not in targets], [])

    def test_commands_and_options_are_in_the_programs_help(self) -> None:
        top = self.help([])
        wrong = []
        for name, words in commands("marigoldpath"):
            chain = self.chain(words)
            text = self.help(chain)
            given = {word.split("=")[0] for word in words if word.startswith("-")}
            known = set(re.findall(r"(?<!\w)--?[a-z][a-z-]*", text + top))
            if not chain or not text or given - known - {"--help"}:
                wrong.append((name, words))
        self.assertEqual(wrong, [])

    def chain(self, words: list[str]) -> list[str]:
        """Return the command and, in a group of commands, the one in the group."""
        plain = [word for word in words if re.fullmatch(r"[a-z]+", word)][:2]
        return plain if plain[:1] in (["sheet"], ["settings"]) else plain[:1]

    def help(self, chain: list[str]) -> str:
        """Return the help of a command, empty when there is no such command."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = main([*chain, "--help"])
        return output.getvalue() if code == 0 else ""


def emitted(
    is_emitter: "type[Emitters]",
    passed_on: frozenset[str],
    sources: list[Path] = SOURCES,
) -> set[str]:
    """Return the first arguments of the calls in the sources, `*` for a variable."""
    names = set()
    for path in sources:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if is_emitter.matches(node.func):
                names.update(_names(node.args[0], passed_on))
    return names


def _names(argument: ast.expr, passed_on: frozenset[str]) -> set[str]:
    if isinstance(argument, ast.Constant):
        return {str(argument.value)}
    if isinstance(argument, ast.JoinedStr):
        parts = [
            str(part.value) if isinstance(part, ast.Constant) else "*"
            for part in argument.values
        ]
        return {"".join(parts)}
    text = ast.unparse(argument)
    return set() if text in passed_on else {f"not a literal: {text}"}


class Emitters:
    """Recognises calls that write a log event or a metric."""

    @staticmethod
    def matches(function: ast.expr) -> bool:
        raise NotImplementedError


class LogCalls(Emitters):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        if isinstance(function, ast.Name):
            return function.id == "Log"
        if not isinstance(function, ast.Attribute):
            return False
        owner = ast.unparse(function.value).split(".")[-1]
        by_level = function.attr in LEVELS and owner in ("log", "_log")
        return by_level or (function.attr == "log" and owner == "zone")


class CellLogCalls(Emitters):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        if not isinstance(function, ast.Attribute):
            return False
        owner = ast.unparse(function.value).split(".")[-1]
        if owner in ("log", "_log"):
            return function.attr in LEVELS
        return function.attr == "log" and owner in ("fleet", "self")


class MetricCalls(Emitters):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        return (
            isinstance(function, ast.Attribute)
            and function.attr in ("count", "gauge")
            and ast.unparse(function.value).split(".")[-1] == "metrics"
        )


class ZoneCounterCalls(Emitters):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        return ast.unparse(function) == "zone.count"


class SpanCalls(Emitters):
    @staticmethod
    def matches(function: ast.expr) -> bool:
        return ast.unparse(function).endswith("spans.start")


class ReferenceTests(unittest.TestCase):
    """Guards against reference pages that miss what the code has, or add to it."""

    def named(self, text: str) -> set[str]:
        return {re.sub(r"<\w+>", "*", name) for name in FIRST_CELL.findall(text)}

    def test_log_events(self) -> None:
        found = emitted(LogCalls, PASSING_ON)
        # Written by the logger itself in place of a line that is too long.
        found.add("log_line_too_long")
        self.assertEqual(self.named(page("reference/log-events.md")), found)

    def test_log_events_of_the_cell(self) -> None:
        text = section(page("OPERATIONS.md"), "Logs")
        found = emitted(CellLogCalls, frozenset({"log_event.event"}), CELL_SOURCES)
        self.assertEqual(self.named(text), found)

    def test_metrics_of_the_cell(self) -> None:
        text = section(page("OPERATIONS.md"), "Metrics")
        metrics = CellMetrics()
        metrics.count_submission("accepted")
        metrics.count_decision("run_ended")
        metrics.count_termination("done")
        metrics.observe_call("commit", 0.1)
        served = re.findall(r"^# TYPE (\S+)", metrics.render(0).decode(), re.MULTILINE)
        named = {name.partition("{")[0] for name in self.named(text)}
        made = {name for name in served if not name.endswith("_created")}
        self.assertEqual(named, made)

    def test_metrics(self) -> None:
        text = section(page("reference/metrics.md"), "Metrics")
        self.assertEqual(self.named(text), emitted(MetricCalls, frozenset()))

    def test_counters_of_a_zone(self) -> None:
        text = section(page("reference/metrics.md"), "Counters of a zone")
        self.assertEqual(self.named(text), emitted(ZoneCounterCalls, frozenset()))

    def test_spans(self) -> None:
        text = page("reference/spans.md")
        self.assertEqual(self.named(text), emitted(SpanCalls, frozenset()))

    def test_routes(self) -> None:
        named = set(
            re.findall(r"^### `([A-Z]+ /v1/\S+)`", page("reference/http.md"), re.M)
        )
        self.assertEqual(named, {f"{method} {path}" for method, path in ROUTES})


class TrackedFileTests(unittest.TestCase):
    """Guards against traces of one machine in what is published."""

    def test_no_machine_path_and_no_registry_address(self) -> None:
        listed = subprocess.run(
            ["git", "ls-files", "-z"], cwd=ROOT, capture_output=True, check=True
        )
        found = []
        for name in listed.stdout.decode().split("\0"):
            path = ROOT / name
            if not name or path == Path(__file__) or not path.is_file():
                continue
            # The bench's journal keeps copies of the sources, this file among them.
            if name.startswith("journal/blobs/"):
                continue
            for number, line in enumerate(
                path.read_text(errors="replace").splitlines(), 1
            ):
                if MACHINE_PATH.search(line) or REGISTRY.search(line):
                    found.append(f"{name}:{number}: {line.strip():.80}")
        self.assertEqual(found, [])
