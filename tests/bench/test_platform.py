"""Tests of the fake platform's table, host list and faults."""

import json
import unittest
from typing import Any

import curio

from marigoldpath_bench.platform import (
    HostList,
    PlatformServer,
    PlatformSettings,
    Store,
)
from marigoldpath_bench.platform._store import ConflictError
from marigoldpath_node.http import HttpClient, HttpClientSettings, ReplyLostError


class StoreTests(unittest.TestCase):
    def test_one_of_two_writers_with_the_same_version_gets_a_conflict(self) -> None:
        store = Store()
        first = store.write("leader/zadar", {"epoch": 1}, None)
        store.write("leader/zadar", {"epoch": 2}, first.version)
        with self.assertRaises(ConflictError):
            store.write("leader/zadar", {"epoch": 9}, first.version)
        row = store.read("leader/zadar")
        assert row is not None
        self.assertEqual(row.value, {"epoch": 2})

    def test_a_recreated_row_never_has_an_old_version(self) -> None:
        store = Store()
        first = store.write("a", 1, None)
        store.delete("a", first.version)
        self.assertGreater(store.write("a", 1, None).version, first.version)

    def test_listing_a_prefix_returns_only_its_rows_in_key_order(self) -> None:
        store = Store()
        for key in ("journal/zadar/1", "journal/zadar/0", "journal/rijeka/0"):
            store.write(key, {}, None)
        keys = [row.key for row in store.list("journal/zadar/")]
        self.assertEqual(keys, ["journal/zadar/0", "journal/zadar/1"])


class HostListTests(unittest.TestCase):
    def test_changes_become_visible_after_the_lag_and_gone_hosts_are_removed(
        self,
    ) -> None:
        hosts = HostList([{"name": "w1"}, {"name": "w2"}], [], 1_000)
        hosts.set_state("w1", "leaving", 0)
        hosts.set_state("w2", "gone", 0)
        before = [host["state"] for host in hosts.visible_hosts(999)["workers"]]
        self.assertEqual(before, ["live", "live"])
        after = [(h["name"], h["state"]) for h in hosts.visible_hosts(1_000)["workers"]]
        self.assertEqual(after, [("w1", "leaving")])


class PlatformServerTests(unittest.TestCase):
    def run_with_server(self, use: Any) -> None:
        async def run() -> None:
            server = PlatformServer(PlatformSettings())
            task = await curio.spawn(server.run)
            client = HttpClient(HttpClientSettings())
            address = f"127.0.0.1:{server.port}"

            async def send(method: str, target: str, value: Any, **headers: str) -> Any:
                named = {name.replace("_", "-"): text for name, text in headers.items()}
                return await client.request(
                    method, address, target, value=value, headers=named
                )

            try:
                await use(send)
            finally:
                await client.close()
                await task.cancel()

        curio.run(run)

    def test_writes_require_the_current_version_of_the_row(self) -> None:
        async def use(send: Any) -> None:
            made = await send("PUT", "/v1/rows/a/b", {"n": 1}, if_none_match="*")
            self.assertEqual(made.json()["key"], "a/b")
            again = await send("PUT", "/v1/rows/a/b", {"n": 2}, if_none_match="*")
            self.assertEqual(again.status, 412)
            version = str(made.json()["version"])
            changed = await send("PUT", "/v1/rows/a/b", {"n": 2}, if_match=version)
            self.assertEqual(changed.status, 200)
            listed = await send("GET", "/v1/rows?prefix=a/", None)
            self.assertEqual([r["value"] for r in listed.json()["rows"]], [{"n": 2}])

        self.run_with_server(use)

    def test_a_write_whose_reply_is_lost_takes_effect(self) -> None:
        async def use(send: Any) -> None:
            await send("POST", "/control", {"mode": "lose_answers", "count": 1})
            with self.assertRaises(ReplyLostError):
                await send("PUT", "/v1/rows/a", 7, if_none_match="*")
            self.assertEqual((await send("GET", "/v1/rows/a", None)).json()["value"], 7)

        self.run_with_server(use)

    def test_an_unchanged_host_list_is_not_sent_again(self) -> None:
        async def use(send: Any) -> None:
            tag = (await send("GET", "/v1/hosts", None)).headers["etag"]
            again = await send("GET", "/v1/hosts", None, if_none_match=tag)
            self.assertEqual((again.status, again.body), (304, b""))

        self.run_with_server(use)

    def test_a_partition_affects_only_the_named_hosts(self) -> None:
        async def use(send: Any) -> None:
            await send("POST", "/control", {"mode": "cut", "cut": ["zadar-e1"]})
            with self.assertRaises(ReplyLostError):
                await send("GET", "/v1/hosts", None, x_host="zadar-e1")
            reply = await send("GET", "/v1/hosts", None, x_host="zadar-e2")
            self.assertEqual(json.loads(reply.body)["workers"], [])

        self.run_with_server(use)
