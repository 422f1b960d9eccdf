"""Tests of how an entry host follows the operator's configuration."""

import unittest

import curio

from marigoldpath_bench.platform_fakes import configuration
from marigoldpath_node.cell import Row, RowKey, StoreLostError, VersionedRows
from marigoldpath_node.cell._codec import to_json
from marigoldpath_node.exposition import CellMetrics
from marigoldpath_platform._configuration_watcher import ConfigurationWatcher
from tests.node.cell_fakes import MemoryStore, RecordingLogger, entry_host

TIMEOUT_S = 5.0


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
            watcher = ConfigurationWatcher(
                store, entry_host(MemoryStore()), apply, log, metrics
            )
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

    def test_failures_in_a_row_are_logged_once_within_the_interval(self):
        errors = [StoreLostError("down")] * 4
        lines, metrics = self.run_watcher(version_rows(3), *errors)
        events = [event for event, _ in lines]
        self.assertEqual(events.count("configuration_read_failed"), 1)
        self.assertIn(
            'configuration_reads_total{outcome="failed"} 4.0',
            metrics.render(0).decode(),
        )


if __name__ == "__main__":
    unittest.main()
