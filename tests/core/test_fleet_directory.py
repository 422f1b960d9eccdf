"""Tests of entries in the directory that name no worker of the cell."""

import unittest

from marigoldpath_core.fleet import (
    LogEvent,
    QueuesChanged,
    RosterEntry,
    RunningTask,
    Tick,
    WorkersListed,
    WorkerUnresponsive,
)
from marigoldpath_core.jobs import Resources
from tests.core.fleet_fixture import URGENT, FleetHarness, entry, job, step, task

OTHER = URGENT._replace(name="other", service="other")
CONFIGURED = QueuesChanged({URGENT.name: URGENT})
# Longer than any authority by the leader's row.
ROW_EXPIRED_MS = 3_000


def foreign(count):
    """Return entries of another program's service."""
    names = [f"foreign-{number}" for number in range(count)]
    return tuple(entry(name, service="billing") for name in names)


class ForeignEntryTests(unittest.TestCase):
    """Guards against counts that include what other programs write to the directory.

    Entries of a service that is not configured took the majority from every leader, so
    the leadership changed all the time and jobs of a lost worker never ran again.
    """

    def setUp(self):
        self.ours = (entry("a"), entry("b"), entry("c"))
        self.harness = self.begin()

    def begin(self, event=CONFIGURED, roster=None, epoch=2):
        harness = FleetHarness(*self.ours, epoch=epoch, roster=roster or {})
        harness.handle(event)
        return harness

    def list_workers(self, entries, harness=None):
        harness = harness or self.harness
        return harness.handle(WorkersListed(tuple(entries)))

    def ignored_lines(self, effects):
        lines = [each for each in effects if isinstance(each, LogEvent)]
        return [each for each in lines if each.event == "directory_entries_ignored"]

    def test_they_are_neither_polled_nor_used(self):
        self.list_workers((*self.ours, *foreign(1_000)))
        self.assertEqual(set(self.harness.scheduler.workers), {"a", "b", "c"})
        self.assertFalse(self.harness.scheduler.needs_relays)
        self.assertEqual(self.harness.scheduler.ignored_entries, 1_000)

    def test_they_do_not_count_for_the_majority(self):
        self.list_workers((*self.ours, *foreign(4)))
        self.harness.report_all()
        self.harness.now_ms += ROW_EXPIRED_MS
        self.harness.report_all()
        scheduler = self.harness.scheduler
        self.assertTrue(scheduler.may_send_commands(self.harness.now_ms))
        self.assertTrue(scheduler.is_majority_reachable(self.harness.now_ms))

    def test_they_may_come_while_a_leader_is_in_office(self):
        self.list_workers(self.ours)
        self.harness.report_all()
        self.list_workers((*self.ours, *foreign(4)))
        self.harness.now_ms += ROW_EXPIRED_MS
        self.harness.report_all()
        scheduler = self.harness.scheduler
        self.assertTrue(scheduler.is_majority_reachable(self.harness.now_ms))

    def test_a_job_of_a_lost_worker_starts_again_beside_them(self):
        roster = {each.worker_id: RosterEntry(each.address, None) for each in self.ours}
        harness = self.begin(roster=roster)
        self.list_workers((*self.ours, *foreign(4)), harness)
        harness.accept(job(step()))
        for _ in range(8):
            harness.report("b")
            harness.report("c")
            harness.advance(1_000)
            harness.commit()
        harness.report("b")
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_they_add_no_capacity(self):
        self.list_workers((*self.ours, *foreign(4)))
        for each in (*self.ours, *foreign(4)):
            self.harness.report(each.worker_id)
        self.harness.dispatch()
        pools = self.harness.scheduler._fleet.pools
        if pools is not None:
            self.assertEqual(pools.capacity, Resources(30_000, 300_000, 0))

    def test_they_are_not_stored_in_the_roster(self):
        self.list_workers((*self.ours, *foreign(4)))
        for each in (*self.ours, *foreign(4)):
            self.harness.report(each.worker_id)
        self.harness.advance(10)
        self.assertEqual(set(self.harness.commit().roster), {"a", "b", "c"})

    def test_they_become_workers_once_their_service_is_configured(self):
        self.list_workers((*self.ours, entry("d", service="other")))
        self.assertNotIn("d", self.harness.scheduler.workers)
        self.harness.handle(QueuesChanged({"urgent": URGENT, "other": OTHER}))
        self.list_workers((*self.ours, entry("d", service="other")))
        self.assertIn("d", self.harness.scheduler.workers)

    def test_they_are_logged_once_however_many_they_are(self):
        effects = self.list_workers((*self.ours, *foreign(1_000)))
        (line,) = self.ignored_lines(effects)
        self.assertEqual(line.fields["count"], 1_000)
        self.assertEqual(line.fields["by_service"], {"billing": 1_000})
        for count in range(20):
            self.harness.now_ms += 100
            effects = self.list_workers((*self.ours, *foreign(count)))
            self.assertEqual(self.ignored_lines(effects), [])

    def test_one_that_replaces_the_entry_of_a_worker_ends_none_of_its_runs(self):
        """Guards against a start of a task whose worker is said to have restarted."""
        self.list_workers(self.ours)
        self.harness.report_all()
        self.harness.advance(10)
        self.harness.commit()
        self.harness.accept(job(step(), epoch=2))
        (start,) = self.harness.dispatch_starts()
        self.harness.confirm_start(start)
        run = RunningTask(start.task, start.run, "", 10, 0)
        self.harness.report(start.worker_id, running=[run])
        replaced = entry(
            start.worker_id, service="billing", address="x:1", incarnation=9_000
        )
        others = [each for each in self.ours if each.worker_id != start.worker_id]
        self.list_workers((replaced, *others))
        worker = self.harness.scheduler._fleet.workers[start.worker_id]
        self.assertEqual(len(worker.runs), 1)
        self.assertEqual(worker.entry.address, f"{start.worker_id}:1")
        self.assertEqual(self.harness.dispatch_starts(), [])
        poll = self.harness.scheduler.next_poll(start.worker_id, self.harness.now_ms)
        self.assertIsNotNone(poll.until_clock_ms)


class OwnWorkerTests(unittest.TestCase):
    """Guards against a cell that takes its own workers for those of another program.

    Tasks of earlier leaders could be running there: they have to be fenced and counted.
    """

    ROSTER = {  # noqa: RUF012
        "a": RosterEntry("a:1", None, "zone"),
        "b": RosterEntry("b:1", None, "zone"),
    }
    ENTRIES = (entry("a"), entry("b"))

    def begin(self, event, roster):
        harness = FleetHarness(epoch=2, roster=roster)
        harness.entries = self.ENTRIES
        if event is not None:
            harness.handle(event)
        return harness

    def check_known(self, harness):
        """Check that both workers are polled, count, and are waited for."""
        harness.handle(WorkersListed((*self.ENTRIES, *foreign(3))))
        self.assertEqual(set(harness.scheduler.workers), {"a", "b"})
        harness.accept(job(step()))
        harness.report("a")
        self.assertEqual(harness.dispatch_starts(), [])
        harness.report("b", running=[RunningTask(task(), 1, "", 30, 0)])
        self.assertEqual(harness.dispatch_starts(), [])
        harness.now_ms += ROW_EXPIRED_MS
        harness.report("a")
        harness.report("b", running=[RunningTask(task(), 1, "", 40, 0)])
        self.assertTrue(harness.scheduler.may_send_commands(harness.now_ms))

    def test_the_service_was_dropped_before_the_hand_over(self):
        self.check_known(self.begin(QueuesChanged({"other": OTHER}), self.ROSTER))

    def test_the_configuration_is_not_read_yet(self):
        self.check_known(self.begin(None, self.ROSTER))

    def test_neither_the_configuration_nor_a_worker_is_known(self):
        """Nothing was started yet, so all entries may be of workers."""
        harness = self.begin(None, {})
        harness.handle(WorkersListed(self.ENTRIES))
        self.assertEqual(set(harness.scheduler.workers), {"a", "b"})

    def test_the_configuration_is_older_than_the_service(self):
        self.check_known(self.begin(QueuesChanged({"other": OTHER}), self.ROSTER))

    def test_the_configuration_is_not_read_yet_and_a_job_is_stored(self):
        harness = self.begin(None, {})
        harness.accept(job(step()))
        harness.handle(WorkersListed((*self.ENTRIES, *foreign(3))))
        self.assertEqual(set(harness.scheduler.workers), {"a", "b"})

    def test_a_job_is_open_whose_service_was_dropped(self):
        """Its worker may be new, and not in the roster yet."""
        harness = self.begin(QueuesChanged({"other": OTHER}), {})
        harness.accept(job(step()))
        harness.handle(WorkersListed((*self.ENTRIES, *foreign(3))))
        self.assertEqual(set(harness.scheduler.workers), {"a", "b"})
        harness.report_all()
        harness.advance(10)
        harness.commit()
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_the_service_is_dropped_and_named_again(self):
        harness = self.begin(CONFIGURED, self.ROSTER)
        self.check_known(harness)
        for event in (QueuesChanged({"other": OTHER}), CONFIGURED):
            harness.handle(event)
            harness.handle(WorkersListed((*self.ENTRIES, *foreign(3))))
            self.assertEqual(set(harness.scheduler.workers), {"a", "b"})
            self.assertEqual(len(harness.scheduler._fleet.workers["b"].runs), 1)

    def test_a_silent_worker_of_a_dropped_service_leaves_after_its_lease(self):
        """Guards against workers of a dropped service that count for good."""
        harness = self.begin(CONFIGURED, self.ROSTER)
        harness.handle(WorkersListed(self.ENTRIES))
        harness.report_all()
        harness.handle(QueuesChanged({"other": OTHER}))
        harness.handle(WorkerUnresponsive("a"))
        for _ in range(3):
            harness.now_ms += 6_000
            harness.report("b")
            harness.handle(Tick(0))
            harness.commit()
            harness.handle(WorkersListed(self.ENTRIES))
        self.assertEqual(set(harness.scheduler.workers), {"b"})
        self.assertNotIn("a", harness.scheduler._fleet.roster)


class ExpiredEntryTests(unittest.TestCase):
    """Guards against counts that entries change which expire while the store is away.

    They are back within two seconds of its return.
    """

    def setUp(self):
        self.entries = tuple(entry(name) for name in "abcde")

    def test_workers_that_reply_count_for_the_majority_without_their_entries(self):
        """The store may answer reads, but no writes of the leader or the workers."""
        harness = FleetHarness(*self.entries)
        harness.report_all()
        harness.handle(WorkersListed(()))
        harness.now_ms += ROW_EXPIRED_MS
        harness.report_all()
        self.assertTrue(harness.scheduler.may_send_commands(harness.now_ms))

    def test_a_few_entries_are_no_majority_of_the_workers_in_the_roster(self):
        """An earlier leader could lead those whose entries are not back yet."""
        roster = {
            each.worker_id: RosterEntry(each.address, None) for each in self.entries
        }
        harness = FleetHarness(self.entries[0], epoch=2, roster=roster)
        harness.report("a")
        earlier_leaders = harness.scheduler._fleet.earlier_leaders
        self.assertIsNone(earlier_leaders.majority_reported_ms)
        # An entry that is still missing then is that of a worker that is gone.
        harness.now_ms += 3_000
        harness.report("a")
        self.assertIsNotNone(earlier_leaders.majority_reported_ms)


if __name__ == "__main__":
    unittest.main()
