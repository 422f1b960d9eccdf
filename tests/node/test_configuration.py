"""Tests of the configuration's routes and its way between hosts, over loopback."""

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


class Table(FakeHttpServer):
    """A platform with compare-and-set, objects and a host list."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[str, dict[str, Any]] = {}
        self.objects: dict[str, Any] = {}
        self.entry_hosts: list[dict[str, Any]] = []
        self.lose_writes = False
        self.is_silent = False

    def list_host(self, host: EntryHostUnderTest, address: str = "") -> None:
        settings = host.daemon.settings
        listed = {
            "name": settings.host,
            "availability_zone": settings.availability_zone,
            "address": address or settings.address,
            "state": "live",
        }
        self.entry_hosts.append(listed)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        path = request.path
        if self.is_silent:
            raise ConnectionAbortedError("the table is silent")
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
        held = str(row["version"]) if row else None
        if request.headers.get("if-match") != held:
            return json_response(412, {})
        version = int(held or 0) + 1
        self.rows[path] = {"value": json.loads(request.body), "version": version}
        if self.lose_writes:
            self.lose_writes = False
            raise ConnectionAbortedError("the answer is lost")
        return json_response(200, {"version": version})


async def put(
    host: EntryHostUnderTest, base: int, text: str, author: str = "ana"
) -> tuple[int, Any]:
    body = {"base_version": base, "author": author, "text": text}
    return await host.call("PUT", "/v1/config", body)


async def version_becomes(host: EntryHostUnderTest, version: int) -> None:
    # A host that has not read the sheet yet answers with an error and no version.
    async with curio.timeout_after(5):
        while (await host.call("GET", "/v1/config"))[1].get("version") != version:
            await curio.sleep(0.05)


class ApplyRouteTests(unittest.TestCase):
    def test_an_applied_sheet_is_in_force_on_all_hosts_within_seconds(self) -> None:
        async def use() -> None:
            async with Table() as table:
                one = EntryHostUnderTest(table)
                two = EntryHostUnderTest(table, host="e2", zone="rijeka")
                async with one, two:
                    status, reply = await put(one, 0, sheet(7))
                    self.assertEqual((status, reply["version"]), (200, 1))
                    await version_becomes(two, 1)
                    kinds = two.daemon.runtime.configuration.kinds
                    self.assertEqual(kinds[0].weight, 7)

        run(use)

    def test_a_lost_answer_of_the_table_is_settled(self) -> None:
        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table) as host:
                table.lose_writes = True
                self.assertEqual((await put(host, 0, sheet()))[0], 200)
                row = table.rows["/v1/rows/config/current"]
                self.assertEqual(row["version"], 1)

        run(use)

    def test_racing_operators_get_one_version_and_one_refusal(self) -> None:
        async def use() -> None:
            async with Table() as table:
                one = EntryHostUnderTest(table)
                two = EntryHostUnderTest(table, host="e2")
                async with one, two:
                    first = await curio.spawn(put, one, 0, sheet(2), "ana")
                    second = await curio.spawn(put, two, 0, sheet(3), "eva")
                    replies = [await first.join(), await second.join()]
                    self.assertEqual(sorted(r[0] for r in replies), [200, 409])
                    won, lost = sorted(replies, key=lambda reply: reply[0])
                    self.assertEqual(lost[1]["author"], won[1]["author"])
                    self.assertTrue(lost[1]["changes"])

        run(use)

    def test_faults_come_back_with_their_rows_and_nothing_is_written(self) -> None:
        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table) as host:
                status, reply = await put(host, 0, sheet(0))
                self.assertEqual(status, 422)
                self.assertEqual(reply["faults"][0]["row"], 2)
                text = sheet(1, SERVICE.replace("zadar", "atlantis"))
                reply = (await put(host, 0, text))[1]
                self.assertEqual(reply["faults"][0]["column"], "availability zone")
                for body in ([], {"base_version": "0"}, {"base_version": 0}):
                    status, _ = await host.call("PUT", "/v1/config", body)
                    self.assertEqual(status, 400)
                self.assertEqual((table.rows, table.objects), ({}, {}))

        run(use)

    def test_the_history_lists_authors_from_the_newest(self) -> None:
        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table) as host:
                for base, author in enumerate(("ana", "eva")):
                    await put(host, base, sheet(1 + base), author)
                _, reply = await host.call("GET", "/v1/config/history")
                found = [(v["version"], v["author"]) for v in reply["versions"]]
                self.assertEqual(found, [(2, "eva"), (1, "ana")])

        run(use)

    def test_a_callers_key_may_not_apply(self) -> None:
        keys = (AccessKey("team-key", "caller", "t"), AccessKey("boss", "operator"))

        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table, keys=keys) as host:
                for key, status in (("", 401), ("team-key", 403), ("boss", 400)):
                    reply = await host.call("PUT", "/v1/config", {}, key)
                    self.assertEqual(reply[0], status)

        run(use)


class PeerRouteTests(unittest.TestCase):
    def test_a_host_cut_off_from_the_platform_gets_the_version_from_a_peer(
        self,
    ) -> None:
        async def use() -> None:
            async with Table() as table, FakeHttpServer() as nothing:
                one = EntryHostUnderTest(table)
                two = EntryHostUnderTest(nothing, host="e2", zone="rijeka")
                table.list_host(two)
                async with one, two:
                    await curio.sleep(0.1)
                    await put(one, 0, sheet())
                    await version_becomes(two, 1)

        run(use)

    def test_a_host_that_has_read_no_version_reports_none(self) -> None:
        """Guards against a restarted host that reports 0, lower than before."""

        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table) as host:
                await put(host, 0, sheet())
                table.is_silent = True
                anew = EntryHostUnderTest(table, host="e2")
                async with anew:
                    status, reply = await anew.call("GET", "/v1/config")
                    self.assertEqual((status, reply["code"]), (503, "version_unknown"))
                    status, reply = await anew.submit(kind="new")
                    self.assertEqual((status, reply["code"]), (503, "version_unknown"))
                    table.is_silent = False
                    async with curio.timeout_after(5):
                        while status == 503:
                            status, reply = await anew.call("GET", "/v1/config")
                            await curio.sleep(0.05)
                    self.assertEqual(reply["version"], 1)

        run(use)

    def test_zones_without_an_answer_are_told_apart(self) -> None:
        async def use() -> None:
            async with Table() as table:
                one = EntryHostUnderTest(table)
                gone = EntryHostUnderTest(table, host="e2", zone="rijeka")
                table.list_host(one)
                table.list_host(gone, "127.0.0.1:1")
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

        run(use)

    def test_a_lower_or_damaged_version_of_a_peer_changes_nothing(self) -> None:
        record = VersionRecord(5, 4, "eva", "", "", sheet(5))
        text = json.dumps(encode_record(record))

        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table) as host:
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

        run(use)


class SheetWorkTests(unittest.TestCase):
    def test_a_leader_submits_services_and_cancels_those_taken_out(self) -> None:
        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table) as host:
                await put(host, 0, sheet(1, SERVICE))
                await self.wait_for(host, RequestSubmitted)
                submitted = host.scheduler.events_of_type(RequestSubmitted)
                self.assertEqual(str(submitted[0].request.key), "t/zadar/w1")
                await put(host, 1, sheet(1))
                await self.wait_for(host, CancelRequested)

        run(use)

    def test_a_batch_is_submitted_once_and_not_again_by_the_next_sheet(self) -> None:
        batch = "batch,,,b1,t,zadar,echo,1,1\n"

        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table) as host:
                await put(host, 0, sheet(1, batch))
                await self.wait_for(host, RequestSubmitted)
                await put(host, 1, sheet(2, batch))
                await curio.sleep(0.3)
                self.assertEqual(
                    len(host.scheduler.events_of_type(RequestSubmitted)), 1
                )

        run(use)

    def test_a_leader_submits_a_batch_that_another_host_applied(self) -> None:
        """The host that applied it may have died before it submitted the batch."""
        batch = "batch,,,b1,t,zadar,echo,1,1\n"
        record = VersionRecord(1, 0, "eva", "", "", sheet(1, batch))
        body = {"version": 1, "text": json.dumps(encode_record(record))}

        async def use() -> None:
            async with Table() as table, EntryHostUnderTest(table) as host:
                await host.call("POST", "/v1/peer/config", body)
                await self.wait_for(host, RequestSubmitted)

        run(use)

    async def wait_for(self, host: EntryHostUnderTest, event_type: type) -> None:
        async with curio.timeout_after(5):
            while not host.scheduler.events_of_type(event_type):
                await curio.sleep(0.05)


if __name__ == "__main__":
    unittest.main()
