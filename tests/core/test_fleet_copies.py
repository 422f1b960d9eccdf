"""Tests of copies: the second runs of tasks of speculative steps."""

import unittest
from unittest.mock import patch

from marigoldpath_core.fleet import (
    JobCancelled,
    LogEvent,
    RequestAdvice,
    RosterEntry,
    RunningTask,
    StartResult,
    StartRun,
    StopReplied,
    TerminatedRun,
    TerminationReason,
    Tick,
    WorkerUnresponsive,
    _copies,
)
from marigoldpath_core.jobs import JobState, Resources, Workspace
from tests.core.fleet_fixture import (
    ADVISED,
    BACKGROUND,
    JOB,
    LONG_RUNNING,
    URGENT,
    FleetHarness,
    ended,
    entry,
    job,
    running,
    step,
    stops,
    task,
)

ESTIMATE_MS = 600
TICK_MS = 100


def starts(effects):
    return [each for each in effects if isinstance(each, StartRun)]


def events(effects, name):
    return [
        each.fields
        for each in effects
        if isinstance(each, LogEvent) and each.event == name
    ]


class CopyFixture(unittest.TestCase):
    """A service of small workers with one job, whose runs the test reports."""

    def begin(
        self,
        *steps,
        queue=URGENT,
        workers="abc",
        cpu=20_000,
        workspace=None,
        **fields,
    ):
        """Start the first tasks of a job and return their commands."""
        self.harness = FleetHarness(*(entry(each, cpu) for each in workers))
        self.harness.commit()
        self.harness.report_all()
        steps = steps or (self.speculative(),)
        if workspace is not None:
            self.harness.configure(workspace)
            fields["workspace"] = workspace.name
        self.harness.accept(job(*steps, queue=queue, **fields))
        commands = self.harness.dispatch_starts()
        for command in commands:
            self.harness.confirm_start(command)
        return commands

    def speculative(self, width=1, **fields):
        fields = {"estimate_ms": ESTIMATE_MS, "speculative": True, **fields}
        return step(width, **fields)

    def tick(self, for_ms=TICK_MS):
        """Let time pass and return the effects of the next scheduling pass."""
        self.harness.now_ms += for_ms
        self.harness.commit()
        effects = self.harness.handle(Tick(0))
        return effects + self.harness.dispatch()

    def report(self, command, percent):
        """Report a run with its progress, and the other runs of its worker."""
        runs = self.fleet.workers[command.worker_id].runs
        others = [
            RunningTask(key, run.number, "", run.percent, 0)
            for key, run in runs.items()
            if key != command.task
        ]
        rows = [running(command, percent), *others]
        return self.harness.report(command.worker_id, rows)

    def begin_slow(self, *steps, **fields):
        """Start a run that is 5 times as slow as estimated, and return its command."""
        (command,) = self.begin(*steps, **fields)
        self.harness.now_ms += ESTIMATE_MS
        self.report(command, 20)
        return command

    def begin_copied(self, *steps, **fields):
        """Start a slow run and its copy, and return both commands."""
        primary = self.begin_slow(*steps, **fields)
        (copy,) = starts(self.tick())
        self.harness.confirm_start(copy)
        return primary, copy

    @property
    def fleet(self):
        return self.harness.scheduler._fleet

    def allocated(self, worker_id):
        worker = self.fleet.workers[worker_id]
        return worker.entry.capacity.cpu_millis - worker.free.cpu_millis


class CopyStartTests(CopyFixture):
    """Guards against stragglers that are waited for, and against copies of others."""

    def test_a_slow_run_gets_one_copy_on_another_worker(self):
        primary = self.begin_slow()
        effects = self.tick()
        (copy,) = starts(effects)
        self.assertEqual(copy.task, primary.task)
        self.assertGreater(copy.run, primary.run)
        self.assertNotEqual(copy.worker_id, primary.worker_id)
        self.assertEqual(stops(effects), [])
        (line,) = events(effects, "copy_started")
        self.assertEqual(line["copied_run"], primary.run)
        self.assertEqual(line["reason"], "slow")
        self.harness.confirm_start(copy)
        self.report(primary, 21)
        self.assertEqual(starts(self.tick()), [])

    def test_a_run_on_time_gets_no_copy(self):
        (command,) = self.begin()
        for percent in (30, 60, 90):
            self.harness.now_ms += ESTIMATE_MS * 0.3
            self.report(command, percent)
            self.assertEqual(starts(self.tick()), [])

    def test_a_run_that_is_slow_but_almost_done_gets_no_copy(self):
        (command,) = self.begin()
        self.harness.now_ms += 4 * ESTIMATE_MS
        self.report(command, 80)
        self.assertEqual(starts(self.tick()), [])

    def test_a_task_that_is_longer_than_estimated_gets_no_copy(self):
        """Its copy would take as long, so it would end after the run."""
        commands = self.begin(self.speculative(width=4), cpu=100_000)
        self.harness.now_ms += ESTIMATE_MS
        for command in commands:
            rows = [
                running(each, 20)
                for each in commands
                if each.worker_id == command.worker_id
            ]
            self.harness.report(command.worker_id, rows)
        self.assertEqual(starts(self.tick()), [])

    def test_an_estimate_alone_may_be_wrong_by_nine_tenths(self):
        (command,) = self.begin()
        self.harness.now_ms += 0.1 * 1.9 * ESTIMATE_MS
        self.report(command, 10)
        self.assertEqual(starts(self.tick(0)), [])

    def test_a_single_fast_sibling_does_not_make_a_run_slow(self):
        """It may have been on a fast worker, and a copy would not be."""
        fast, run = self.begin(self.speculative(2, max_per_worker=1))
        self.harness.now_ms += 100
        self.harness.report(fast.worker_id, ended=[ended(1, fast)])
        self.harness.now_ms += 20
        self.report(run, 20)
        self.assertEqual(starts(self.tick(0)), [])

    def test_a_run_that_is_being_stopped_gets_no_copy(self):
        primary = self.begin_slow()
        self.fleet.stop(self.fleet.task(primary.task).run, "test")
        self.assertEqual(starts(self.tick()), [])

    def test_no_copy_is_started_on_a_worker_that_is_expected_to_be_slow(self):
        self.begin_slow()
        with patch.object(self.fleet.speeds, "speed", lambda _worker: 0.1):
            self.assertEqual(starts(self.tick()), [])

    def test_a_copy_counts_for_the_quota_of_its_workspace(self):
        """Guards against copies that bring a workspace above its quota."""
        for quota, copies in ((1_999, 0), (2_000, 1)):
            with self.subTest(quota=quota):
                workspace = Workspace("one", 1.0, Resources(quota))
                self.begin_slow(workspace=workspace)
                self.assertEqual(len(starts(self.tick())), copies)

    def test_advice_for_the_next_step_is_requested_when_the_copy_is_almost_done(self):
        self.harness = FleetHarness(*(entry(each, 20_000) for each in "ab"))
        self.harness.commit()
        self.harness.report_all()
        steps = [self.speculative(), self.speculative(after=(0,))]
        self.harness.accept(job(*steps, queue=ADVISED))
        (request,) = self.advice_requests(self.harness.dispatch())
        self.harness.reply_with_advice(request, {"a": "ticket a", "b": "ticket b"})
        (primary,) = self.harness.dispatch_starts()
        self.harness.confirm_start(primary)
        self.harness.now_ms += ESTIMATE_MS
        self.report(primary, 20)
        effects = self.tick()
        (copy,) = starts(effects)
        self.assertEqual(self.advice_requests(effects), [])
        self.harness.confirm_start(copy)
        self.harness.now_ms += 300
        self.report(primary, 20)
        self.report(copy, 70)
        self.assertEqual(len(self.advice_requests(self.tick(0))), 1)

    def advice_requests(self, effects):
        return [each for each in effects if isinstance(each, RequestAdvice)]

    def test_a_run_that_is_much_slower_than_its_siblings_gets_a_copy(self):
        commands = self.begin(self.speculative(4, max_per_worker=1), workers="abcdef")
        slow, *others = commands
        self.harness.now_ms += 300
        self.report(slow, 10)
        for command in others:
            self.report(command, 50)
        (copy,) = starts(self.tick())
        self.assertEqual(copy.task, slow.task)

    def test_a_run_without_progress_gets_a_copy(self):
        (command,) = self.begin()
        self.harness.now_ms += 300
        self.report(command, 50)
        for _ in range(2):
            self.harness.now_ms += 550
            self.assertEqual(starts(self.tick(0)), [])
            self.report(command, 50)
        effects = self.tick(0)
        self.assertEqual(len(starts(effects)), 1)
        (line,) = events(effects, "copy_started")
        self.assertEqual(line["reason"], "no progress")

    def test_a_run_on_a_silent_worker_gets_a_copy(self):
        """Without it, the task waits until the lease of the worker has expired."""
        (command,) = self.begin()
        self.harness.handle(WorkerUnresponsive(command.worker_id))
        self.assertEqual(starts(self.tick(900)), [])
        effects = self.tick(100)
        self.assertEqual(len(starts(effects)), 1)
        (line,) = events(effects, "copy_started")
        self.assertEqual(line["reason"], "worker is silent")

    def test_only_speculative_steps_that_end_by_themselves_get_copies(self):
        for fields in (
            {"speculative": False},
            {"gang": True},
            {"long_running": True, "queue": LONG_RUNNING},
            {"fills": True},
        ):
            with self.subTest(**fields):
                queue = fields.pop("queue", URGENT)
                self.begin_slow(self.speculative(**fields), queue=queue)
                self.assertEqual(starts(self.tick()), [])

    def test_a_run_restored_from_a_checkpoint_is_measured_from_its_first_report(self):
        """Its first percentage says nothing about its speed."""
        (command,) = self.begin(self.speculative(checkpointable=True))
        end = ended(1, command, TerminationReason.LEASE_EXPIRED, "checkpoint")
        self.harness.report(command.worker_id, ended=[end])
        (restored,) = self.harness.dispatch_starts()
        self.assertEqual(restored.checkpoint, "checkpoint")
        self.harness.confirm_start(restored)
        self.harness.now_ms += 1_000
        self.report(restored, 50)
        self.harness.now_ms += ESTIMATE_MS
        self.report(restored, 55)
        (copy,) = starts(self.tick())
        self.assertEqual(copy.checkpoint, "checkpoint")

    def test_a_worker_with_a_run_that_could_need_a_copy_is_polled_often(self):
        """Reports are the only evidence, and an urgent task takes less than a poll."""
        (command,) = self.begin()
        poll = self.harness.scheduler.next_poll(command.worker_id, self.harness.now_ms)
        self.assertEqual(poll.wait_ms, 500)
        (command,) = self.begin(step(estimate_ms=ESTIMATE_MS))
        poll = self.harness.scheduler.next_poll(command.worker_id, self.harness.now_ms)
        self.assertEqual(poll.wait_ms, 1_200)


class CopyLimitTests(CopyFixture):
    """Guards against copies that take capacity, attempts or time from other work."""

    def test_a_copy_avoids_the_workers_that_its_task_avoids(self):
        primary = self.begin_slow(workers="ab")
        other = {"a": "b", "b": "a"}[primary.worker_id]
        self.fleet.task(primary.task).avoided_workers.add(other)
        self.assertEqual(starts(self.tick()), [])

    def test_a_copy_preempts_nothing(self):
        (primary,) = self.begin(workers="ab")
        self.occupy(1, 19_500, checkpointable=True)
        self.harness.now_ms += ESTIMATE_MS
        self.report(primary, 20)
        effects = self.tick()
        self.assertEqual((starts(effects), stops(effects)), ([], []))

    def occupy(self, width, cpu_millis, **fields):
        """Start a background job that uses these processors on some workers."""
        other = step(width, cpu_millis, max_per_worker=1, **fields)
        self.harness.accept(job(other, queue=BACKGROUND, job_id="00000000000000ab"))
        commands = self.harness.dispatch_starts()
        self.assertEqual(len(commands), width)
        for command in commands:
            self.harness.confirm_start(command)

    def test_copies_use_at_most_a_twentieth_of_the_capacity(self):
        commands = self.begin(
            self.speculative(4, max_per_worker=1, cpu=1_000),
            workers="abcdefgh",
            cpu=5_000,
        )
        self.harness.now_ms += ESTIMATE_MS
        for command in commands:
            # The siblings are slow as well, so only a stall counts.
            self.report(command, 0)
        copies = []
        for _ in range(6):
            self.harness.now_ms += 400
            for command in commands:
                self.report(command, 0)
            copies += starts(self.tick(0))
        self.assertEqual(len(copies), 2)
        # A twentieth of 40,000 millicores.
        self.assertEqual(
            sum(run.need.cpu_millis for run in self.fleet.copies.runs), 2_000
        )

    def test_no_copy_is_started_when_less_than_a_tenth_is_free(self):
        for cpu_millis, copies in ((8_700, 0), (8_500, 1)):
            with self.subTest(cpu_millis=cpu_millis):
                (primary,) = self.begin(cpu=10_000)
                self.occupy(3, cpu_millis)
                free = sum(each.free.cpu_millis for each in self.fleet.workers.values())
                self.assertEqual(free < 3_000, not copies)
                self.harness.now_ms += ESTIMATE_MS
                self.report(primary, 20)
                self.assertEqual(len(starts(self.tick())), copies)

    def test_waiting_tasks_of_the_step_come_first(self):
        """The room that a copy would get can be what a task waits for."""
        primary, failing, _ = self.begin(self.speculative(3, max_per_worker=1))
        end = ended(1, failing, TerminationReason.FAILED)
        self.harness.report(failing.worker_id, ended=[end])
        self.harness.now_ms += ESTIMATE_MS
        self.report(primary, 5)
        self.assertEqual(starts(self.tick()), [])
        self.assertEqual(self.harness.open_steps()[0].waiting_tasks, 1)

    def test_copies_count_in_the_limit_of_runs_on_a_worker(self):
        commands = self.begin(self.speculative(2, max_per_worker=1))
        copies = []
        for _ in range(5):
            self.harness.now_ms += 400
            for command in commands:
                self.report(command, 0)
            copies += starts(self.tick(0))
        self.assertEqual(len(copies), 1)

    def test_a_run_whose_start_is_recorded_gets_no_copy_until_it_has_survived(self):
        """A new leader settles one recorded start of a task, and a copy has none."""
        self.harness = FleetHarness(*(entry(each, 20_000) for each in "ab"), epoch=2)
        self.harness.commit()
        self.harness.report_all()
        self.fleet.lost_worker_before_term = True
        self.harness.accept(job(self.speculative()))
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.commit()
        (primary,) = self.harness.dispatch_starts()
        self.harness.confirm_start(primary)
        self.harness.now_ms += ESTIMATE_MS
        self.report(primary, 20)
        self.assertEqual(starts(self.tick()), [])
        self.harness.now_ms += ESTIMATE_MS
        self.report(primary, 25)
        self.assertEqual(len(starts(self.tick())), 1)

    def test_a_copy_needs_a_valid_ticket(self):
        self.harness = FleetHarness(*(entry(each, 20_000) for each in "ab"))
        self.harness.commit()
        self.harness.report_all()
        self.harness.accept(job(self.speculative(), queue=ADVISED))
        (request,) = [
            each for each in self.harness.dispatch() if isinstance(each, RequestAdvice)
        ]
        self.harness.reply_with_advice(request, {"a": "ticket a", "b": "ticket b"})
        (primary,) = self.harness.dispatch_starts()
        self.harness.confirm_start(primary)
        self.harness.now_ms += ESTIMATE_MS
        self.report(primary, 20)
        found = self.fleet.task(primary.task).step
        other = {"a": "b", "b": "a"}[primary.worker_id]
        until_ms, found.tickets[other].until_ms = found.tickets[other].until_ms, 0.0
        self.assertEqual(starts(self.tick()), [])
        found.tickets[other].until_ms = until_ms
        (copy,) = starts(self.tick())
        self.assertEqual(copy.ticket, f"ticket {other}")

    def test_no_copy_is_started_while_the_start_limit_is_reached(self):
        primary = self.begin_slow()
        limit = self.fleet.start_limit
        for number in range(limit.limit):
            limit.record_start(primary.task, 1_000 + number)
        self.assertEqual(starts(self.tick()), [])
        limit.record_reply(primary.task, 1_000)
        self.assertEqual(len(starts(self.tick())), 1)

    def test_a_leader_that_lags_starts_no_copy(self):
        self.begin_slow()
        self.harness.commit()
        self.harness.handle(Tick(0, lag_ms=1_000.0))
        self.assertEqual(self.harness.dispatch_starts(), [])
        for _ in range(20):
            self.harness.handle(Tick(0))
        self.assertEqual(len(starts(self.tick())), 1)

    def test_a_copy_is_not_the_attempt_that_fails_the_job(self):
        self.begin_slow(queue=URGENT._replace(attempts=1))
        self.assertEqual(starts(self.tick()), [])

    def test_a_suspect_gets_no_copy(self):
        """The starts of suspects are stored first, and those of copies are not."""
        primary = self.begin_slow()
        self.fleet.task(primary.task).crashed_runs.add(7)
        self.assertEqual(starts(self.tick()), [])

    def test_a_job_that_is_of_no_use_any_more_gets_no_copy(self):
        self.begin_slow()
        (found,) = self.harness.open_steps()
        found.job.due_ms = self.harness.now_ms - 10 * ESTIMATE_MS
        self.assertEqual(starts(self.tick()), [])

    def test_no_copy_is_started_long_after_the_row_was_stored(self):
        """Guards against a start of a task that a later leader knows to be done.

        That leader has stored its row before it acknowledges the task as done.
        """
        self.begin_slow()
        self.harness.now_ms += _copies.MAX_ROW_AGE_MS + 1
        self.harness.handle(Tick(0))
        self.assertEqual(self.harness.dispatch_starts(), [])
        (copy,) = starts(self.tick(0))
        self.assertLess(
            copy.until_clock_ms - self.harness.now_ms + _copies.MAX_ROW_AGE_MS, 950
        )

    def test_steps_take_turns_when_there_are_many(self):
        self.begin(workers="ab")
        for number in range(5):
            self.harness.accept(job(self.speculative(), job_id=f"{number + 1:016x}"))
        self.harness.dispatch()
        seen = []
        with (
            patch.object(_copies, "MAX_EXAMINED_TASKS", 2),
            patch.object(
                _copies, "_stragglers_of", lambda _, each: seen.append(each.key) or ()
            ),
        ):
            for _ in range(3):
                self.tick()
        self.assertEqual(len(set(seen)), 6)
        self.assertEqual(len(seen), 6)


class FirstDoneTests(CopyFixture):
    """Guards against a task that counts twice, and against a run that goes on."""

    def check_other_is_stopped(self, first, other, reason):
        effects = self.harness.report(first.worker_id, ended=[ended(1, first)])
        (command,) = stops(effects)
        self.assertEqual((command.worker_id, command.run), (other.worker_id, other.run))
        (line,) = events(effects, "run_stopping")
        self.assertEqual(line["reason"], reason)
        # The resources of the other run stay allocated until its end is reported.
        self.assertEqual(self.allocated(first.worker_id), 0)
        self.assertEqual(self.allocated(other.worker_id), 1_000)
        self.assertEqual(len(self.fleet.open_steps), 0)
        end = ended(1, other, TerminationReason.STOPPED)
        effects += self.harness.report(other.worker_id, ended=[end])
        self.assertEqual(self.allocated(other.worker_id), 0)
        self.assertEqual(self.fleet.copies.runs, set())
        self.harness.commit()
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.DONE)
        return effects

    def test_a_copy_that_is_done_stops_the_run(self):
        primary, copy = self.begin_copied()
        effects = self.check_other_is_stopped(copy, primary, "its copy is done")
        self.assertEqual(len(events(effects, "copy_won")), 1)
        self.assertEqual(events(effects, "copy_wasted"), [])

    def test_a_run_that_is_done_stops_its_copy(self):
        primary, copy = self.begin_copied()
        reason = "the run that it copies is done"
        effects = self.check_other_is_stopped(primary, copy, reason)
        self.assertEqual(events(effects, "copy_won"), [])
        self.assertEqual(len(events(effects, "copy_wasted")), 1)

    def test_both_are_done_and_the_next_step_starts_once(self):
        primary, copy = self.begin_copied(
            self.speculative(), step(estimate_ms=ESTIMATE_MS, after=(0,))
        )
        self.harness.report(copy.worker_id, ended=[ended(1, copy)])
        self.harness.report(primary.worker_id, ended=[ended(1, primary)])
        (command,) = self.harness.dispatch_starts()
        self.assertEqual(command.task, task(step_number=1))
        self.assertEqual(self.fleet.copies.runs, set())
        total = sum(self.allocated(each) for each in "abc")
        self.assertEqual(total, 1_000)

    def test_a_stopped_copy_counts_in_the_budget_until_it_has_ended(self):
        primary, copy = self.begin_copied()
        self.harness.report(primary.worker_id, ended=[ended(1, primary)])
        self.assertEqual(len(self.fleet.copies.runs), 1)
        end = ended(1, copy, TerminationReason.STOPPED)
        self.harness.report(copy.worker_id, ended=[end])
        self.assertEqual(self.fleet.copies.runs, set())

    def test_a_run_stopped_without_a_reply_is_stopped_again(self):
        primary, copy = self.begin_copied()
        self.harness.report(copy.worker_id, ended=[ended(1, copy)])
        self.harness.now_ms += 2_000
        self.report(primary, 50)
        (command,) = stops(self.tick())
        self.assertEqual(command.run, primary.run)

    def test_the_checkpoint_of_the_run_that_is_behind_is_not_used(self):
        primary, copy = self.begin_copied(self.speculative(checkpointable=True))
        for command, percent, checkpoint in (
            (copy, 50, "newer"),
            (primary, 25, "older"),
        ):
            row = running(command, percent, checkpoint)
            self.harness.report(command.worker_id, [row])
        self.assertEqual(self.fleet.task(copy.task).checkpoint, "newer")

    def test_both_runs_of_a_cancelled_job_are_stopped(self):
        primary, copy = self.begin_copied()
        effects = self.harness.handle(JobCancelled(JOB))
        self.assertEqual(
            {(each.worker_id, each.run) for each in stops(effects)},
            {(each.worker_id, each.run) for each in (primary, copy)},
        )
        for command in (primary, copy):
            end = ended(1, command, TerminationReason.STOPPED)
            self.harness.report(command.worker_id, ended=[end])
        self.assertEqual([self.allocated(each) for each in "abc"], [0, 0, 0])
        self.assertEqual(starts(self.tick()), [])


class FailedCopyTests(CopyFixture):
    """Guards against attempts that count twice or not, and tasks with no run left."""

    def fail(self, command, number=1):
        end = ended(number, command, TerminationReason.FAILED)
        return self.harness.report(command.worker_id, ended=[end])

    def test_the_copy_replaces_a_run_that_failed(self):
        primary, copy = self.begin_copied()
        effects = self.fail(primary)
        self.assertEqual(len(events(effects, "copy_promoted")), 1)
        self.assertEqual(starts(self.tick()), [])
        self.assertEqual(self.fleet.copies.runs, set())
        self.harness.report(copy.worker_id, ended=[ended(1, copy)])
        self.harness.commit()
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.DONE)

    def test_a_copy_that_fails_leaves_the_run_and_counts_once(self):
        primary, copy = self.begin_copied()
        self.fail(copy)
        self.fail(copy)
        found = self.fleet.task(primary.task)
        self.assertEqual(found.failed_runs, {copy.run})
        self.assertEqual(found.run.number, primary.run)
        self.assertIsNone(found.copy)
        self.report(primary, 25)
        self.assertEqual(starts(self.tick()), [])

    def test_the_job_fails_once_the_attempts_are_used_up(self):
        primary, copy = self.begin_copied(queue=URGENT._replace(attempts=2))
        self.fail(copy)
        self.fail(primary)
        self.harness.commit()
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.FAILED)
        self.assertEqual(starts(self.tick()), [])

    def test_a_failure_that_is_one_too_many_stops_the_other_run(self):
        primary, copy = self.begin_copied(queue=URGENT._replace(attempts=2))
        self.fleet.task(primary.task).failed_runs.add(99)
        effects = self.fail(primary)
        (command,) = stops(effects)
        self.assertEqual(command.run, copy.run)

    def test_a_refused_copy_leaves_the_run(self):
        for result in (
            StartResult.REFUSED,
            StartResult.EXPIRED,
            StartResult.NO_FREE_CAPACITY,
            StartResult.STALE_RUN,
            StartResult.NOT_SENT,
            StartResult.BAD_TICKET,
        ):
            with self.subTest(result=result):
                primary = self.begin_slow()
                (copy,) = starts(self.tick())
                effects = self.harness.reply_to_start(copy, result)
                self.assertEqual(len(events(effects, "copy_wasted")), 1)
                found = self.fleet.task(primary.task)
                self.assertEqual(found.run.number, primary.run)
                self.assertIsNone(found.copy)
                self.assertEqual(self.allocated(copy.worker_id), 0)
                self.assertFalse(found.is_waiting)
                self.assertEqual(self.harness.open_steps()[0].waiting_tasks, 0)


class LostCopyTests(CopyFixture):
    """Guards against runs that leak or are freed twice after a failure."""

    def test_a_lost_reply_is_settled_by_a_report(self):
        self.begin_slow()
        (copy,) = starts(self.tick())
        self.harness.reply_to_start(copy, StartResult.UNKNOWN, 0)
        self.harness.now_ms += 1_000
        self.harness.report(copy.worker_id)
        self.assertEqual(self.allocated(copy.worker_id), 0)
        self.assertEqual(self.fleet.copies.runs, set())

    def test_the_copy_replaces_a_run_whose_lease_expired(self):
        primary, copy = self.begin_copied()
        self.harness.handle(WorkerUnresponsive(primary.worker_id))
        for _ in range(60):
            self.report(copy, 50)
            self.assertEqual(starts(self.tick()), [])
        self.assertEqual(self.allocated(primary.worker_id), 0)
        self.assertEqual(self.fleet.task(copy.task).run.number, copy.run)

    def test_a_run_that_returns_after_its_lease_is_a_second_run(self):
        primary, copy = self.begin_copied()
        self.harness.handle(WorkerUnresponsive(primary.worker_id))
        for _ in range(60):
            self.report(copy, 50)
            self.tick()
        effects = self.report(primary, 30)
        self.assertEqual(stops(effects), [])
        found = self.fleet.task(copy.task)
        self.assertEqual([run.number for run in found.runs], [primary.run, copy.run])
        self.assertEqual(self.allocated(primary.worker_id), 1_000)

    def test_the_copy_replaces_a_run_whose_worker_restarted(self):
        primary, copy = self.begin_copied()
        self.harness.report(primary.worker_id, incarnation=2_000, clock_ms=10)
        found = self.fleet.task(copy.task)
        self.assertEqual([run.number for run in found.runs], [copy.run])
        self.assertEqual(self.allocated(primary.worker_id), 0)
        self.assertEqual(starts(self.tick()), [])

    def test_a_copy_in_flight_to_a_worker_that_restarts_is_stopped_first(self):
        primary = self.begin_slow()
        (copy,) = starts(self.tick())
        effects = self.harness.report(copy.worker_id, incarnation=2_000, clock_ms=10)
        self.assertEqual([each.run for each in stops(effects)], [copy.run])
        stopped = StopReplied(copy.worker_id, copy.task, copy.run, 20, restarts=1)
        self.harness.handle(stopped)
        self.harness.report(copy.worker_id, incarnation=2_000, clock_ms=30)
        self.assertEqual(self.allocated(copy.worker_id), 0)
        self.assertEqual(self.fleet.task(primary.task).run.number, primary.run)

    def test_a_stopping_copy_that_becomes_the_run_is_waited_for(self):
        """Guards against a third run beside one that is being stopped."""
        primary, copy = self.begin_copied()
        found = self.fleet.task(primary.task)
        self.fleet.stop(found.copy, "test")
        end = ended(1, primary, TerminationReason.FAILED)
        self.harness.report(primary.worker_id, ended=[end])
        self.assertEqual(starts(self.tick()), [])
        end = ended(1, copy, TerminationReason.STOPPED)
        self.harness.report(copy.worker_id, ended=[end])
        self.assertEqual(len(starts(self.tick())), 1)


class AdoptedCopyTests(unittest.TestCase):
    """Guards against a new leader that stops a copy, or starts a third run."""

    def lead(self, *steps, workers="ab", epoch=2, **fields):
        self.harness = FleetHarness(
            *(entry(each) for each in workers), epoch=epoch, **fields
        )
        self.harness.commit()
        steps = steps or (step(speculative=True, estimate_ms=ESTIMATE_MS),)
        self.harness.accept(job(*steps))

    def report(self, worker_id, number, percent=30):
        run = RunningTask(task(), number, "", percent, 0)
        return self.harness.report(worker_id, [run])

    def numbers(self):
        found = self.harness.scheduler._fleet.task(task())
        return [run.number for run in found.runs]

    def test_two_runs_are_adopted_in_any_order(self):
        for order in (("a", "b"), ("b", "a")):
            with self.subTest(order=order):
                self.lead()
                effects = []
                for worker_id in order:
                    effects += self.report(worker_id, {"a": 1, "b": 2}[worker_id])
                self.assertEqual(stops(effects), [])
                self.assertEqual(self.numbers(), [1, 2])
                self.assertEqual(len(events(effects, "copy_adopted")), 1)
                fleet = self.harness.scheduler._fleet
                self.assertEqual([run.number for run in fleet.copies.runs], [2])
                self.assertEqual(self.harness.dispatch_starts(), [])

    def test_a_second_run_of_another_step_is_stopped(self):
        self.lead(step())
        self.report("a", 1)
        (command,) = stops(self.report("b", 2))
        self.assertEqual((command.worker_id, command.run), ("b", 2))

    def test_a_third_run_is_stopped(self):
        self.lead(workers="abc")
        self.report("a", 1)
        self.report("b", 2)
        (command,) = stops(self.report("c", 3))
        self.assertEqual((command.worker_id, command.run), ("c", 3))

    def test_a_second_run_on_the_same_worker_is_stopped(self):
        """The capacity of the first one would be lost track of."""
        self.lead()
        rows = [RunningTask(task(), number, "", 30, 0) for number in (1, 2)]
        effects = self.harness.report("a", rows)
        self.assertEqual([each.run for each in stops(effects)], [2])

    def test_a_run_beside_a_start_that_is_still_to_be_recorded_is_stopped(self):
        """The record would be lost if the run became the primary one."""
        self.lead()
        for each in "ab":
            self.harness.report(each)
        self.harness.scheduler._fleet.lost_worker_before_term = True
        self.assertEqual(self.harness.dispatch_starts(), [])
        planned = self.harness.scheduler._fleet.task(task()).run
        other = {"a": "b", "b": "a"}[planned.worker_id]
        self.assertEqual([each.run for each in stops(self.report(other, 1))], [1])

    def test_a_run_of_a_task_that_a_copy_has_done_is_stopped(self):
        self.lead()
        self.report("a", 1)
        end = TerminatedRun(1, task(), 2, TerminationReason.DONE, "")
        effects = self.harness.report("b", ended=[end])
        self.assertEqual([each.run for each in stops(effects)], [1])

    def test_a_copy_reported_after_the_task_is_done_is_stopped(self):
        self.lead(step(speculative=True), step(after=(0,)), workers="ab")
        self.report("a", 1)
        end = TerminatedRun(1, task(), 1, TerminationReason.DONE, "")
        self.harness.report("a", ended=[end])
        self.assertEqual([each.run for each in stops(self.report("b", 2))], [2])

    def test_a_task_whose_run_failed_waits_for_workers_that_could_have_a_copy(self):
        self.lead()
        self.report("a", 1)
        end = TerminatedRun(1, task(), 1, TerminationReason.FAILED, "")
        self.harness.report("a", ended=[end])
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.report("b", 2)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.assertEqual(self.numbers(), [2])

    def test_the_next_step_waits_for_workers_that_could_have_a_copy(self):
        """Guards against a second start of a step that follows a copy that was done.

        The first run goes on in this case, so that it was reported does not show that
        the step has not been started.
        """
        self.lead(step(speculative=True), step(after=(0,)), workers="abc")
        self.harness.report("c")
        self.report("a", 1)
        end = TerminatedRun(1, task(), 1, TerminationReason.DONE, "")
        self.harness.report("a", ended=[end])
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.report("b")
        (command,) = self.harness.dispatch_starts()
        self.assertEqual(command.task, task(step_number=1))

    def test_no_copy_is_started_while_a_worker_could_have_one(self):
        self.lead(workers="abc")
        self.report("a", 1, 10)
        self.harness.report("c")
        for _ in range(3):
            self.harness.now_ms += ESTIMATE_MS
            self.report("a", 1, 30)
            self.harness.commit()
            self.harness.handle(Tick(0))
            self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.report("b")
        self.harness.handle(Tick(0))
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_the_roster_of_a_silent_worker_lists_the_job_of_a_copy(self):
        self.lead(workers="abc")
        for worker_id, number in (("a", 1), ("b", 2)):
            self.report(worker_id, number)
        self.harness.handle(WorkerUnresponsive("b"))
        self.harness.handle(Tick(0))
        self.assertEqual(
            self.harness.commit().roster["b"], RosterEntry("b:1", (JOB,), "zone")
        )


if __name__ == "__main__":
    unittest.main()
