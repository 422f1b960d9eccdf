"""Tests of the log lines that say why tasks wait."""

import unittest

from marigoldpath_core.fleet import LogEvent, TerminationReason
from tests.core.fleet_fixture import FleetHarness, ended, entry, job, step


class WaitingLogTests(unittest.TestCase):
    """Guards against a waiting task of which the log does not say what it waits for."""

    def setUp(self):
        self.harness = FleetHarness(entry("a", cpu=1_000))
        self.harness.report_all()
        self.harness.accept(job(step(width=3)))
        (self.command,) = self.harness.dispatch_starts()
        self.harness.confirm_start(self.command)

    def wait(self, for_ms):
        """Return the lines of the scheduling passes in the next `for_ms`."""
        lines = []
        for _ in range(for_ms // 100):
            self.harness.advance(100)
            self.harness.report_all()
            self.harness.commit()
            lines.extend(
                each.fields
                for each in self.harness.dispatch()
                if isinstance(each, LogEvent) and each.event == "tasks_waiting"
            )
        return lines

    def test_the_line_counts_the_workers_that_each_reason_excludes(self):
        (line,) = self.wait(1_500)
        self.assertEqual((line["tasks"], line["candidates"]), (2, 1))
        self.assertEqual((line["full"], line["avoided"]), (1, 0))

    def test_a_step_is_logged_every_five_seconds(self):
        self.assertEqual(len(self.wait(900)), 0)
        self.assertEqual(len(self.wait(10_000)), 2)

    def test_the_wait_counts_from_the_end_of_the_last_run(self):
        self.harness.now_ms += 300
        failed = ended(1, self.command, TerminationReason.FAILED)
        self.harness.report("a", ended=[failed])
        task = self.harness.open_steps()[0].tasks[self.command.task.task_index]
        self.assertEqual(task.waiting_since_ms, self.harness.now_ms)


if __name__ == "__main__":
    unittest.main()
