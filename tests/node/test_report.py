"""Tests of the routes of the daily report."""

import unittest

from marigoldpath_core.report import DayRecord, encode_day
from marigoldpath_core.settings import AccessKey

from .fakes import EntryHostUnderTest, FakeHttpServer, kernel_test

LEADER_ROW = "/v1/rows/leader/rijeka"


class ReportRouteTests(unittest.TestCase):
    @kernel_test
    async def test_the_report_of_the_own_zone_needs_no_other_host(self) -> None:
        async with FakeHttpServer() as platform, EntryHostUnderTest(platform) as host:
            status, reply = await host.call("GET", "/v1/report")
        self.assertEqual(status, 200)
        zones = [day["availability_zones"] for day in reply["days"]]
        self.assertEqual((zones, reply["unreachable"]), ([["zadar"]], []))
        self.assertEqual(reply["configuration"]["version"], 0)

    @kernel_test
    async def test_the_report_of_all_zones_reads_the_other_leaders(self) -> None:
        record = DayRecord("2031-05-07", ("rijeka",))
        async with FakeHttpServer() as platform, FakeHttpServer() as peer:
            value = {"epoch": 3, "host": "e9", "address": peer.address}
            platform.responses["GET", LEADER_ROW] = {"value": value, "version": 1}
            peer.responses["POST", "/v1/peer/report"] = {"day": encode_day(record)}
            async with EntryHostUnderTest(platform) as host:
                _, reply = await host.call("GET", "/v1/report?zones=1")
        zones = [day["availability_zones"] for day in reply["days"]]
        self.assertEqual((zones, reply["unreachable"]), ([["zadar"], ["rijeka"]], []))

    @kernel_test
    async def test_an_unreachable_zone_is_named_with_the_reason(self) -> None:
        async with FakeHttpServer() as platform:
            value = {"epoch": 3, "host": "e9", "address": "127.0.0.1:1"}
            platform.responses["GET", LEADER_ROW] = {"value": value, "version": 1}
            async with EntryHostUnderTest(platform) as host:
                _, reply = await host.call("GET", "/v1/report?zones=1")
        (missing,) = reply["unreachable"]
        self.assertEqual(missing["availability_zone"], "rijeka")
        self.assertIn("127.0.0.1:1", missing["reason"])

    @kernel_test
    async def test_a_host_that_does_not_lead_returns_no_statistics(self) -> None:
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, False) as host,
        ):
            self.assertEqual(
                await host.call("POST", "/v1/peer/report"), (200, {"day": None})
            )
            self.assertEqual((await host.call("GET", "/v1/report"))[0], 503)

    @kernel_test
    async def test_a_callers_key_has_no_access_to_the_report(self) -> None:
        keys = (AccessKey("c", "caller", "t"), AccessKey("boss", "operator"))
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, keys=keys) as host,
        ):
            for path in (("GET", "/v1/report"), ("POST", "/v1/peer/report")):
                self.assertEqual((await host.call(*path, key="c"))[0], 403)


if __name__ == "__main__":
    unittest.main()
