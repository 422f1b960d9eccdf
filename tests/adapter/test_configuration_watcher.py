"""Tests of how an entry host follows the operator's configuration."""

import unittest

import curio

from marigoldpath_bench.platform_fakes import FakeStore, configuration
from marigoldpath_node.cell import Row, RowKey, StoreLostError, VersionedRows
from marigoldpath_node.cell._codec import to_json
from marigoldpath_node.exposition import CellMetrics
from marigoldpath_node.http import HttpClient, HttpClientSettings
from marigoldpath_platform._configuration_watcher import ConfigurationWatcher
from marigoldpath_platform._store import PlatformStore
from tests.adapter.slow_link import SlowLink
from tests.node.cell_fakes import MemoryStore, RecordingLogger, entry_host

TIMEOUT_S = 5.0
# The transfer of a configuration with many routes takes about 3 s at this rate.
SLOW_BYTES_PER_S = 300_000
MANY_ROUTES = 4_000
SLOW_TIMEOUT_S = 30.0


class ScriptedStore:
    """Returns or raises the scripted results of reads, then waits for ever."""

    def __init__(self, *results):
        self._results = list(results)

    async def read_shared(self, _table, _reply_s=None):
        return await self._next()

    async def watch(self, _table, _after, _wait_ms):
        return await self._next()

    async def _next(self):
        if not self._results:
            await curio.Event().wait()
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def version_rows(version):
    row = Row(RowKey("op", "", "config"), to_json(configuration(version)), version)
    return VersionedRows((row,), version)


class ReadReportTests(unittest.TestCase):
    def run_watcher(self, *results):
        """Run a watcher until `results` are used up; return log lines and metrics."""
        log, metrics = RecordingLogger(), CellMetrics()

        async def apply(_configuration):
            pass

        async def run():
            store = ScriptedStore(*results)
            store_health = entry_host(MemoryStore()).store_health
            await curio.spawn(store_health.run, daemon=True)
            watcher = ConfigurationWatcher(store, store_health, apply, log, metrics)
            task = await curio.spawn(watcher.run, daemon=True)

            async def wait():
                while store._results:
                    await curio.sleep(0.01)
                await curio.sleep(0.01)

            await curio.timeout_after(TIMEOUT_S, wait)
            await task.cancel()

        curio.run(run)
        return log.lines, metrics

    def test_a_host_that_keeps_an_old_version_says_why_and_how_old_it_is(self):
        lines, metrics = self.run_watcher(
            version_rows(3), StoreLostError("cut off after 9 bytes"), version_rows(5)
        )
        fields = dict(lines)
        failed = fields["configuration_read_failed"]
        self.assertEqual((failed["version"], failed["failures"]), (3, 1))
        self.assertIn("cut off after 9 bytes", failed["reason"])
        self.assertEqual(fields["configuration_read_again"]["version"], 3)
        self.assertEqual(fields["configuration_read"]["version"], 5)
        text = metrics.render(0).decode()
        self.assertIn("marigoldpath_configuration_version 5.0", text)
        self.assertIn('configuration_reads_total{outcome="failed"} 1.0', text)

    def test_a_failure_before_the_first_version_has_no_age(self):
        """Infinity is not valid JSON."""
        lines, _ = self.run_watcher(StoreLostError("down"), version_rows(3))
        self.assertIsNone(dict(lines)["configuration_read_failed"]["age_s"])

    def test_failures_in_a_row_are_logged_once_within_the_interval(self):
        errors = [StoreLostError("down")] * 4
        lines, metrics = self.run_watcher(version_rows(3), *errors)
        events = [event for event, _ in lines]
        self.assertEqual(events.count("configuration_read_failed"), 1)
        self.assertIn(
            'configuration_reads_total{outcome="failed"} 4.0',
            metrics.render(0).decode(),
        )


def large_configuration(version):
    data = configuration(version)
    data["routes"] += [
        {**data["routes"][0], "name": f"queue-{number}", "prefix": f"/{number}/"}
        for number in range(MANY_ROUTES)
    ]
    return data


class SlowLinkHost:
    """A watcher behind a slow link to the store, and the versions that it applied."""

    def __init__(self):
        self.store = FakeStore()
        self.versions = []
        self.log = RecordingLogger()

    async def start(self):
        await self.store.start()
        self.link = SlowLink(self.store.address, SLOW_BYTES_PER_S)
        await self.link.start()
        client = HttpClient(HttpClientSettings(connect_s=0.6))
        store = PlatformStore(client, self.link.address)
        self.store_health = entry_host(store).store_health
        watcher = ConfigurationWatcher(
            store, self.store_health, self._apply, self.log, CellMetrics()
        )
        await curio.spawn(self.store_health.run, daemon=True)
        await curio.spawn(watcher.run, daemon=True)

    async def _apply(self, configuration):
        self.versions.append(configuration.cell_configuration.version)

    async def wait_for(self, condition):
        async def wait():
            while not condition():
                await curio.sleep(0.02)

        await curio.timeout_after(SLOW_TIMEOUT_S, wait)


class SlowLinkTests(unittest.TestCase):
    def run_host(self, action):
        async def run():
            host = SlowLinkHost()
            await host.start()
            await action(host)
            return host

        return curio.run(run)

    def test_a_configuration_whose_transfer_takes_seconds_comes_into_force(self):
        async def action(host):
            host.store.put("op", "config", configuration(1))
            await host.wait_for(lambda: host.versions == [1])
            for version in (2, 3):
                host.store.put("op", "config", large_configuration(version))
                await host.wait_for(lambda version=version: version in host.versions)

        self.run_host(action)

    def test_a_large_configuration_does_not_keep_the_store_unresponsive(self):
        async def action(host):
            host.store.put("op", "config", configuration(1))
            await host.wait_for(lambda: host.versions == [1])
            host.link.is_cut = True
            await host.wait_for(lambda: host.store_health.is_unresponsive)
            host.store.put("op", "config", large_configuration(2))
            host.link.is_cut = False
            await host.wait_for(lambda: not host.store_health.is_unresponsive)
            await host.wait_for(lambda: 2 in host.versions)

        self.run_host(action)


if __name__ == "__main__":
    unittest.main()
