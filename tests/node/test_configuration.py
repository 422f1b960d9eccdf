"""Tests of the configuration's routes and its synchronization between hosts."""

import json
import unittest
from typing import Any

import curio

from marigoldpath_core.configuration import VersionRecord, encode_record
from marigoldpath_core.messages import CancelRequested, RequestSubmitted
from marigoldpath_core.settings import AccessKey
from marigoldpath_node.http import HttpRequest, HttpResponse, json_response

from .fakes import EntryHostUnderTest, FakeHttpServer, run

SERVICE = "service,,,w1,t,zadar,watch,1,1\n"
HEADER = "row,name,standing,id,team,availability zone,kind,cpu cores,memory GB,weight\n"


def sheet(weight: int = 1, extra: str = "") -> str:
    kinds = f"kind,echo,no,,,,,,,{weight}\nkind,watch,yes\n"
    return HEADER + kinds + extra


class FakePlatform(FakeHttpServer):
    """A fake platform with a compare-and-set table, objects and a host list."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[str, dict[str, Any]] = {}
        self.objects: dict[str, Any] = {}
        self.entry_hosts: list[dict[str, Any]] = []
        self.loses_next_write_reply = False
        self.is_unresponsive = False

    def list_host(self, host: EntryHostUnderTest, address: str = "") -> None:
        settings = host.daemon.settings
        listed = {
            "name": settings.host,
            "availability_zone": settings.availability_zone,
            "address": address or settings.address,
            "state": "live",
        }
        self.entry_hosts.append(listed)

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        path = request.path
        if self.is_unresponsive:
            raise ConnectionAbortedError("the table does not reply")
        if path == "/v1/hosts":
            return json_response(200, {"workers": [], "entry_hosts": self.entry_hosts})
        if path.startswith("/v1/objects/"):
            return self._object(request, path)
        if not path.startswith("/v1/rows/config/"):
            return json_response(404, {})
        return self._row(request, path)

    def _object(self, request: HttpRequest, path: str) -> HttpResponse:
        if request.method == "PUT":
            self.objects[path] = json.loads(request.body)
        value = self.objects.get(path)
        return json_response(200 if value is not None else 404, value)

    def _row(self, request: HttpRequest, path: str) -> HttpResponse:
        row = self.rows.get(path)
        if request.method == "GET":
            return json_response(200 if row else 404, row)
        stored_version = str(row["version"]) if row else None
        if request.headers.get("if-match") != stored_version:
            return json_response(412, {})
        version = int(stored_version or 0) + 1
        self.rows[path] = {"value": json.loads(request.body), "version": version}
        if self.loses_next_write_reply:
            self.loses_next_write_reply = False
            raise ConnectionAbortedError("the reply is lost")
        return json_response(200, {"version": version})


async def put(
    host: EntryHostUnderTest, base: int, text: str, author: str = "ana"
) -> tuple[int, Any]:
    body = {"base_version": base, "author": author, "text": text}
    return await host.call("PUT", "/v1/config", body)


async def version_becomes(host: EntryHostUnderTest, version: int) -> None:
    # A host that has not read the sheet yet replies with an error and no version.
    async with curio.timeout_after(5):
        while (await host.call("GET", "/v1/config"))[1].get("version") != version:
            await curio.sleep(0.05)


class ApplyRouteTests(unittest.TestCase):
    def test_applied_sheet_becomes_active_on_all_hosts_within_seconds(self) -> None:
        async def run_hosts() -> None:
            async with FakePlatform() as platform:
                one = EntryHostUnderTest(platform)
                two = EntryHostUnderTest(platform, host="e2", zone="rijeka")
                async with one, two:
                    status, reply = await put(one, 0, sheet(7))
                    self.assertEqual((status, reply["version"]), (200, 1))
                    await version_becomes(two, 1)
                    kinds = two.daemon.runtime.configuration.kinds
                    self.assertEqual(kinds[0].weight, 7)

        run(run_hosts)

    def test_write_with_a_lost_reply_is_read_back(self) -> None:
        async def run_hosts() -> None:
            async with FakePlatform() as platform, EntryHostUnderTest(platform) as host:
                platform.loses_next_write_reply = True
                self.assertEqual((await put(host, 0, sheet()))[0], 200)
                row = platform.rows["/v1/rows/config/current"]
                self.assertEqual(row["version"], 1)

        run(run_hosts)

    def test_concurrent_applies_give_one_version_and_one_conflict(self) -> None:
        async def run_hosts() -> None:
            async with FakePlatform() as platform:
                one = EntryHostUnderTest(platform)
                two = EntryHostUnderTest(platform, host="e2")
                async with one, two:
                    first = await curio.spawn(put, one, 0, sheet(2), "ana")
                    second = await curio.spawn(put, two, 0, sheet(3), "eva")
                    replies = [await first.join(), await second.join()]
                    self.assertEqual(sorted(r[0] for r in replies), [200, 409])
                    won, lost = sorted(replies, key=lambda reply: reply[0])
                    self.assertEqual(lost[1]["author"], won[1]["author"])
                    self.assertTrue(lost[1]["changes"])

        run(run_hosts)

    def test_problems_are_returned_with_their_rows_and_nothing_is_written(self) -> None:
        async def run_hosts() -> None:
            async with FakePlatform() as platform, EntryHostUnderTest(platform) as host:
                status, reply = await put(host, 0, sheet(0))
                self.assertEqual(status, 422)
                self.assertEqual(reply["faults"][0]["row"], 2)
                text = sheet(1, SERVICE.replace("zadar", "atlantis"))
                reply = (await put(host, 0, text))[1]
                self.assertEqual(reply["faults"][0]["column"], "availability zone")
                for body in ([], {"base_version": "0"}, {"base_version": 0}):
                    status, _ = await host.call("PUT", "/v1/config", body)
                    self.assertEqual(status, 400)
                self.assertEqual((platform.rows, platform.objects), ({}, {}))

        run(run_hosts)

    def test_history_lists_authors_newest_first(self) -> None:
        async def run_hosts() -> None:
            async with FakePlatform() as platform, EntryHostUnderTest(platform) as host:
                for base, author in enumerate(("ana", "eva")):
                    await put(host, base, sheet(1 + base), author)
                _, reply = await host.call("GET", "/v1/config/history")
                found = [(v["version"], v["author"]) for v in reply["versions"]]
                self.assertEqual(found, [(2, "eva"), (1, "ana")])

        run(run_hosts)

    def test_caller_key_may_not_apply_a_sheet(self) -> None:
        keys = (AccessKey("team-key", "caller", "t"), AccessKey("boss", "operator"))

        async def run_hosts() -> None:
            async with (
                FakePlatform() as platform,
                EntryHostUnderTest(platform, keys=keys) as host,
            ):
                for key, status in (("", 401), ("team-key", 403), ("boss", 400)):
                    reply = await host.call("PUT", "/v1/config", {}, key)
                    self.assertEqual(reply[0], status)

        run(run_hosts)


class PeerRouteTests(unittest.TestCase):
    def test_host_without_the_platform_gets_the_version_from_a_peer(
        self,
    ) -> None:
        async def run_hosts() -> None:
            async with (
                FakePlatform() as platform,
                FakeHttpServer() as unreachable_platform,
            ):
                one = EntryHostUnderTest(platform)
                two = EntryHostUnderTest(unreachable_platform, host="e2", zone="rijeka")
                platform.list_host(two)
                async with one, two:
                    await curio.sleep(0.1)
                    await put(one, 0, sheet())
                    await version_becomes(two, 1)

        run(run_hosts)

    def test_host_that_has_read_no_version_reports_none(self) -> None:
        """Guards against a restarted host that reports version 0, lower than before."""

        async def run_hosts() -> None:
            async with FakePlatform() as platform, EntryHostUnderTest(platform) as host:
                await put(host, 0, sheet())
                platform.is_unresponsive = True
                restarted = EntryHostUnderTest(platform, host="e2")
                async with restarted:
                    status, reply = await restarted.call("GET", "/v1/config")
                    self.assertEqual((status, reply["code"]), (503, "version_unknown"))
                    status, reply = await restarted.submit(kind="new")
                    self.assertEqual((status, reply["code"]), (503, "version_unknown"))
                    platform.is_unresponsive = False
                    async with curio.timeout_after(5):
                        while status == 503:
                            status, reply = await restarted.call("GET", "/v1/config")
                            await curio.sleep(0.05)
                    self.assertEqual(reply["version"], 1)

        run(run_hosts)

    def test_hosts_that_do_not_reply_are_listed_without_a_version(self) -> None:
        async def run_hosts() -> None:
            async with FakePlatform() as platform:
                one = EntryHostUnderTest(platform)
                stopped = EntryHostUnderTest(platform, host="e2", zone="rijeka")
                platform.list_host(one)
                platform.list_host(stopped, "127.0.0.1:1")
                async with one:
                    await curio.sleep(0.1)
                    await put(one, 0, sheet())
                    _, reply = await one.call("GET", "/v1/config?zones=1")
                    self.assertEqual(
                        [zone["hosts"] for zone in reply["zones"]],
                        [
                            [{"host": "e1", "version": 1}],
                            [{"host": "e2", "version": None}],
                        ],
                    )

        run(run_hosts)

    def test_lower_or_malformed_version_of_a_peer_is_ignored(self) -> None:
        record = VersionRecord(5, 4, "eva", "", "", sheet(5))
        text = json.dumps(encode_record(record))

        async def run_hosts() -> None:
            async with FakePlatform() as platform, EntryHostUnderTest(platform) as host:
                target = "/v1/peer/config"
                bodies: list[tuple[Any, int]] = [
                    ({"version": 5, "text": text}, 200),
                    ({"version": 4, "text": text}, 400),
                    ({"version": 9, "text": "{}"}, 400),
                    ({"version": 9, "text": 1}, 400),
                    ({"version": 2, "text": ""}, 200),
                ]
                for body, status in bodies:
                    self.assertEqual((await host.call("POST", target, body))[0], status)
                await version_becomes(host, 5)

        run(run_hosts)


class SheetWorkTests(unittest.TestCase):
    def test_leader_submits_services_and_cancels_removed_ones(self) -> None:
        async def run_hosts() -> None:
            async with FakePlatform() as platform, EntryHostUnderTest(platform) as host:
                await put(host, 0, sheet(1, SERVICE))
                await self.wait_for(host, RequestSubmitted)
                submitted = host.scheduler.events_of_type(RequestSubmitted)
                self.assertEqual(str(submitted[0].request.key), "t/zadar/w1")
                await put(host, 1, sheet(1))
                await self.wait_for(host, CancelRequested)

        run(run_hosts)

    def test_batch_is_not_submitted_again_by_the_next_sheet(self) -> None:
        batch = "batch,,,b1,t,zadar,echo,1,1\n"

        async def run_hosts() -> None:
            async with FakePlatform() as platform, EntryHostUnderTest(platform) as host:
                await put(host, 0, sheet(1, batch))
                await self.wait_for(host, RequestSubmitted)
                await put(host, 1, sheet(2, batch))
                await curio.sleep(0.3)
                self.assertEqual(
                    len(host.scheduler.events_of_type(RequestSubmitted)), 1
                )

        run(run_hosts)

    def test_leader_submits_a_batch_that_another_host_applied(self) -> None:
        """The host that applied the sheet may have failed before submitting it."""
        batch = "batch,,,b1,t,zadar,echo,1,1\n"
        record = VersionRecord(1, 0, "eva", "", "", sheet(1, batch))
        body = {"version": 1, "text": json.dumps(encode_record(record))}

        async def run_hosts() -> None:
            async with FakePlatform() as platform, EntryHostUnderTest(platform) as host:
                await host.call("POST", "/v1/peer/config", body)
                await self.wait_for(host, RequestSubmitted)

        run(run_hosts)

    async def wait_for(self, host: EntryHostUnderTest, event_type: type) -> None:
        async with curio.timeout_after(5):
            while not host.scheduler.events_of_type(event_type):
                await curio.sleep(0.05)


if __name__ == "__main__":
    unittest.main()
