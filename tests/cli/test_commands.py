"""Tests of commands against a fake entry host."""

import io
import json
import unittest
from collections.abc import Awaitable, Callable
from html.parser import HTMLParser
from pathlib import Path
from typing import Any
from unittest import mock

import curio

from marigoldpath_cli import _requests, _sheet
from marigoldpath_cli._client import EntryClient
from marigoldpath_cli._config import ClientConfig
from marigoldpath_cli._errors import CommandError
from marigoldpath_cli._exit_codes import ExitCode
from marigoldpath_cli._progress import Progress
from marigoldpath_cli._render import printable, render
from marigoldpath_cli._report import show_report
from marigoldpath_cli._view import Document, View
from marigoldpath_core.configuration import Configuration, encode_configuration
from marigoldpath_core.report import encode_day
from marigoldpath_node.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    json_response,
)
from tests.core.test_report import sample_day

ROOT = Path(__file__).resolve().parents[2]
SHEET = str(ROOT / "deploy/skala/sheet.csv")
UNREACHABLE_ADDRESS = "127.0.0.1:1"


class FakeEntryHost:
    """Replies by method and path; None does not reply."""

    def __init__(self, **replies: tuple[int, Any] | None) -> None:
        self.replies = replies
        self.requests: list[HttpRequest] = []

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        name = request.method + request.path.replace("/v1/", "_").replace("/", "_")
        reply = self.replies[name]
        if reply is None:
            await curio.sleep(60)
        assert reply is not None
        return json_response(*reply)


def run(
    host: FakeEntryHost, run_command: Callable[[EntryClient], Awaitable[View]]
) -> View:
    """Run a command with two entry hosts, of which the first is unreachable."""

    async def serve() -> View:
        server = HttpServer(HttpServerSettings("127.0.0.1", 0), host.handle)
        server.listen()
        task = await curio.spawn(server.run)
        entries = (UNREACHABLE_ADDRESS, f"127.0.0.1:{server.port}")
        try:
            config = ClientConfig(entries, key="secret", reply_s=0.3)
            async with EntryClient(config) as client:
                return await run_command(client)
        finally:
            await task.cancel()

    return curio.run(serve)


def reply_zones(**versions: int | None) -> list[dict[str, Any]]:
    return [
        {
            "availability_zone": zone,
            "hosts": [{"host": f"{zone}-1", "version": version}],
        }
        for zone, version in versions.items()
    ]


class EntryClientTests(unittest.TestCase):
    def test_the_client_fails_over_to_the_next_entry_host_with_the_key(self) -> None:
        host = FakeEntryHost(
            GET_status=(200, {"leaders": [{"zone": "zadar", "epoch": 3}]})
        )
        view = run(host, _requests.show_status)
        self.assertEqual(view.payload["leaders"][0]["epoch"], 3)
        self.assertEqual(host.requests[0].headers["authorization"], "Bearer secret")

    def test_error_replies_have_their_exit_codes(self) -> None:
        for status, outcome, code in (
            (403, "not_run", ExitCode.DENIED),
            (404, "not_run", ExitCode.NOT_FOUND),
            (503, "not_run", ExitCode.FAILED),
            (503, "unknown", ExitCode.UNKNOWN),
        ):
            payload = {"message": "no", "outcome": outcome}
            health = (200, {"host": "entry-2"})
            host = FakeEntryHost(POST_drain=(status, payload), GET_health=health)
            with self.assertRaises(CommandError) as caught:
                run(host, lambda client: _requests.drain_host(client, "entry-2"))
            self.assertIs(caught.exception.exit_code, code)

    def test_a_drain_is_sent_to_the_named_host_only(self) -> None:
        host = FakeEntryHost(GET_health=(200, {"host": "entry-2"}))
        with self.assertRaises(CommandError) as caught:
            run(host, lambda client: _requests.drain_host(client, "entry-3"))
        self.assertIs(caught.exception.exit_code, ExitCode.NOT_FOUND)

    def test_workers_and_queues_are_read_from_the_leaders(self) -> None:
        size = {"cpu_millis": 64_000, "memory_mb": 256_000, "slots": 8}
        used = {"cpu_millis": 1_500, "memory_mb": 2_000, "slots": 1}
        worker = {"rack": "r1", "ready": True, "capacity": size, "used": used}
        scheduler = {"serving": True, "waiting": {"plan": 7}, "workers": {"w1": worker}}
        status = {"availability_zone": "zadar", "scheduler": scheduler}
        view = run(FakeEntryHost(GET_status=(200, status)), _requests.show_hosts)
        row = ("zadar", "w1", "r1", "ready", "1.5/64", "2/256", "1/8")
        self.assertEqual(view.blocks[0].rows, (row,))
        view = run(FakeEntryHost(GET_status=(200, status)), _requests.show_requests)
        self.assertEqual(view.blocks[0].rows, (("zadar", "plan", 7),))

    def test_a_cancellation_without_a_reply_has_an_unknown_outcome(self) -> None:
        host = FakeEntryHost(DELETE_requests_a_z_1=None)
        with self.assertRaises(CommandError) as caught:
            run(host, lambda client: _requests.cancel_request(client, "a/z/1"))
        self.assertIs(caught.exception.exit_code, ExitCode.UNKNOWN)

    def test_a_reply_that_is_not_an_object_is_an_error(self) -> None:
        with self.assertRaises(CommandError) as caught:
            run(FakeEntryHost(GET_status=(200, [1])), _requests.show_status)
        self.assertIs(caught.exception.exit_code, ExitCode.FAILED)


class SheetCommandTests(unittest.TestCase):
    def apply(self, host: FakeEntryHost) -> tuple[View, str]:
        stream = io.StringIO()
        progress = Progress(stream)
        with mock.patch.object(_sheet, "ACTIVATION_TIMEOUT_S", 0.5):
            view = run(
                host,
                lambda client: _sheet.apply_sheet(client, SHEET, 4, "ana", progress),
            )
        return view, stream.getvalue()

    def test_an_apply_waits_until_the_version_is_active_in_all_zones(self) -> None:
        reply = {"version": 5, "zones": reply_zones(zadar=5, rijeka=6)}
        host = FakeEntryHost(PUT_config=(200, {"version": 5}), GET_config=(200, reply))
        view, shown = self.apply(host)
        self.assertIs(view.exit_code, ExitCode.OK)
        self.assertIn("in force in all zones", shown)
        body = json.loads(host.requests[0].body)
        self.assertEqual((body["base_version"], body["author"]), (4, "ana"))

    def test_unreachable_and_outdated_zones_are_reported_as_pending(self) -> None:
        reply = {"version": 5, "zones": reply_zones(zadar=5, rijeka=None, sibenik=4)}
        host = FakeEntryHost(PUT_config=(200, {"version": 5}), GET_config=(200, reply))
        view, shown = self.apply(host)
        self.assertIs(view.exit_code, ExitCode.PARTIAL)
        self.assertIn("waiting for rijeka cut off, sibenik behind", shown)

    def test_a_conflict_shows_the_changes_of_the_other_operator(self) -> None:
        change = "kind plan changed: weight from 5 to 6"
        reply = {"message": "eva came first", "outcome": "not_run"}
        host = FakeEntryHost(PUT_config=(409, {**reply, "changes": [change]}))
        view, _ = self.apply(host)
        self.assertIs(view.exit_code, ExitCode.CONFLICT)
        self.assertIn(change, str(view.blocks))

    def test_a_lost_reply_is_resolved_by_reading_the_version(self) -> None:
        text = Path(SHEET).read_text(encoding="utf-8")
        reply = {
            "version": 5,
            "author": "ana",
            "text": text,
            "zones": reply_zones(zadar=5),
        }
        view, _ = self.apply(FakeEntryHost(PUT_config=None, GET_config=(200, reply)))
        self.assertIs(view.exit_code, ExitCode.OK)
        for version, author, code in (
            (5, "eva", ExitCode.CONFLICT),
            (4, "ana", ExitCode.UNKNOWN),
        ):
            other = {**reply, "version": version, "author": author}
            with self.assertRaises(CommandError) as caught:
                self.apply(FakeEntryHost(PUT_config=None, GET_config=(200, other)))
            self.assertIs(caught.exception.exit_code, code)

    def test_a_diff_is_against_the_active_version(self) -> None:
        text = Path(SHEET).read_text(encoding="utf-8").replace(";2000;", ";3000;")
        host = FakeEntryHost(GET_config=(200, {"version": 4, "text": text}))
        view = run(host, lambda client: _sheet.diff_sheet(client, SHEET))
        self.assertEqual(view.payload["base_version"], 4)
        self.assertEqual(view.payload["changes"][0]["before"], "3000")


class ReportCommandTests(unittest.TestCase):
    def view(self, format_name: str) -> View:
        reply = {
            "days": [encode_day(sample_day())],
            "configuration": encode_configuration(Configuration()),
        }
        host = FakeEntryHost(GET_report=(200, reply))
        return run(host, lambda client: show_report(client, format_name, ""))

    def test_the_page_is_well_formed_and_loads_no_files(self) -> None:
        block = self.view("html").blocks[0]
        assert isinstance(block, Document)
        opened: list[str] = []
        links: list[str] = []

        class Checker(HTMLParser):
            def handle_starttag(self, tag: str, attrs: list) -> None:
                links.extend(n for n, _ in attrs if n in ("src", "href"))
                if tag not in ("meta",):
                    opened.append(tag)

            def handle_startendtag(self, tag: str, attrs: list) -> None:
                pass

            def handle_endtag(self, tag: str) -> None:
                if tag != "br":
                    while opened and opened[-1] == "br":
                        opened.pop()
                    assert opened.pop() == tag, tag

        Checker().feed(block.text)
        self.assertEqual((opened, links), ([], []))
        self.assertIn("<svg", block.text)
        self.assertNotIn("url(", block.text)

    def test_the_text_has_every_section(self) -> None:
        stream = io.StringIO()
        render(self.view("text"), False, stream)
        for title in ("What ran", "and why", "what to change"):
            self.assertIn(title, stream.getvalue())

    def test_an_unreachable_zone_is_named(self) -> None:
        """A report that omits a zone without a note looks like a day without load."""
        reply = {
            "days": [encode_day(sample_day())],
            "unreachable": [{"availability_zone": "rijeka", "reason": "cut off"}],
            "configuration": encode_configuration(Configuration()),
        }
        host = FakeEntryHost(GET_report=(200, reply))
        view = run(host, lambda client: show_report(client, "text", ""))
        self.assertEqual(view.blocks[0][0], ("zone rijeka is missing: cut off",))


class RenderTests(unittest.TestCase):
    def test_values_cannot_control_the_terminal(self) -> None:
        self.assertEqual(printable("a\x1b[2Jb\nc"), "a [2Jb c")


if __name__ == "__main__":
    unittest.main()
