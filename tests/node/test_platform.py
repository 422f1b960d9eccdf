"""Tests of the platform client."""

import unittest

from marigoldpath_core.messages import HostState, Row, WriteStatus
from marigoldpath_node.http import HttpResponse, json_response
from marigoldpath_node.platform import (
    PlatformReplyError,
    PlatformUnreachableError,
    create_platform_client,
)

from .fakes import FakeHttpServer, kernel_test, make_client, make_settings

ROW = ("PUT", "/v1/rows/leader/zadar")


def client_of(address: str):
    return create_platform_client(
        make_settings(platform_address=address), make_client()
    )


class RowTests(unittest.TestCase):
    @kernel_test
    async def test_missing_row_is_not_an_error(self) -> None:
        async with FakeHttpServer() as platform:
            client = client_of(platform.address)
            self.assertIsNone(await client.read_row("leader/zadar"))
            platform.responses["GET", "/v1/rows/leader/zadar"] = {
                "key": "leader/zadar",
                "value": {"epoch": 1},
                "version": 7,
            }
            row = await client.read_row("leader/zadar")
            self.assertEqual(row, Row("leader/zadar", {"epoch": 1}, 7))
            self.assertEqual(platform.requests[0].headers["x-host"], "e1")

    @kernel_test
    async def test_each_result_of_a_write_has_its_own_status(self) -> None:
        cases = {
            WriteStatus.WRITTEN: {"version": 8},
            WriteStatus.CONFLICT: json_response(412, {}),
            WriteStatus.UNKNOWN: "lost",
        }

        async with FakeHttpServer() as platform:
            client = client_of(platform.address)
            for status, answer in cases.items():
                platform.responses[ROW] = answer
                reply = await client.write_row("leader/zadar", {}, 7)
                self.assertEqual(reply.status, status)
            self.assertEqual(platform.requests[0].headers["if-match"], "7")

    @kernel_test
    async def test_write_with_a_malformed_reply_is_unknown(self) -> None:
        async with FakeHttpServer() as platform:
            platform.responses[ROW] = HttpResponse(200, b"[")
            reply = await client_of(platform.address).create_row("leader/zadar", {})
            self.assertEqual(reply.status, WriteStatus.UNKNOWN)
            self.assertEqual(platform.requests[0].headers["if-none-match"], "*")

    @kernel_test
    async def test_outage_raises_a_platform_error(self) -> None:
        with self.assertRaises(PlatformUnreachableError):
            await client_of("127.0.0.1:1").read_row("leader/zadar")
        async with FakeHttpServer() as platform:
            platform.responses["GET", "/v1/rows"] = json_response(503, {})
            with self.assertRaises(PlatformReplyError):
                await client_of(platform.address).read_rows("journal/")


class HostListTests(unittest.TestCase):
    @kernel_test
    async def test_unchanged_host_list_is_not_transferred_again(self) -> None:
        listed = {
            "workers": [
                {
                    "name": "w1",
                    "availability_zone": "zadar",
                    "rack": "r",
                    "address": "127.0.0.1:2",
                    "capacity": {"slots": 8},
                    "state": "leaving",
                }
            ],
            "entry_hosts": [],
        }

        def answer(request):
            if request.headers.get("if-none-match") == '"1"':
                return HttpResponse(304)
            return json_response(200, listed, {"etag": '"1"'})

        async with FakeHttpServer() as platform:
            platform.responses["GET", "/v1/hosts"] = answer
            client = client_of(platform.address)
            first = await client.hosts()
            self.assertEqual(first.workers[0].state, HostState.LEAVING)
            self.assertIs(await client.hosts(), first)

    @kernel_test
    async def test_only_workers_of_this_hosts_zone_are_kept(self) -> None:
        """The workers of seven other zones took 2.6 MB of memory on each follower."""
        worker = {"rack": "r", "address": "", "capacity": {}, "state": "live"}
        zones = ("zadar", "rijeka")
        listed = {
            "workers": [
                {**worker, "name": f"w-{zone}", "availability_zone": zone}
                for zone in zones
            ],
            "entry_hosts": [
                {
                    "name": f"e-{zone}",
                    "availability_zone": zone,
                    "address": "",
                    "state": "live",
                }
                for zone in zones
            ],
        }
        async with FakeHttpServer() as platform:
            platform.responses["GET", "/v1/hosts"] = listed
            hosts = await client_of(platform.address).hosts()
            self.assertEqual([each.name for each in hosts.workers], ["w-zadar"])
            self.assertEqual(len(hosts.entry_hosts), 2)


if __name__ == "__main__":
    unittest.main()
