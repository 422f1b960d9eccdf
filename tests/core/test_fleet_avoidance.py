"""Tests of tasks that avoid workers, and of how long they do."""

import unittest

from marigoldpath_core.fleet import (
    FleetSettings,
    JobCancelled,
    RequestAdvice,
    StartResult,
    TerminationReason,
    WorkersListed,
)
from tests.core.fleet_fixture import (
    ADVISED,
    BACKGROUND,
    LONG_RUNNING,
    FleetHarness,
    ended,
    entry,
    job,
    running,
    step,
    stops,
)

AVOID_MS = FleetSettings().avoid_ms
TICK_MS = 100
OTHER_JOB = "00000000000000ab"


class AvoidanceFixture(unittest.TestCase):
    """Two workers: a lasting job occupies `full`, and `roomy` is empty."""

    def set_up_workers(self, *more, full_cpu=2_000):
        self.harness = FleetHarness(
            entry("full", cpu=full_cpu, labels=("a", "lasting")), entry("roomy"), *more
        )
        self.ends = dict.fromkeys((each.worker_id for each in self.harness.entries), ())
        self.runs = []
        self.harness.report_all()
        lasting = step(width=2, long_running=True, required_label="lasting")
        self.harness.accept(job(lasting, queue=LONG_RUNNING, job_id=OTHER_JOB))
        self.start()

    def start(self):
        """Run a scheduling pass, confirm its starts and return them."""
        commands = self.harness.dispatch_starts()
        for command in commands:
            self.harness.confirm_start(command)
        self.runs.extend(commands)
        return commands

    def end(self, command, kind=TerminationReason.FAILED):
        """Report the end of a run."""
        self.runs.remove(command)
        worker_id = command.worker_id
        number = len(self.ends[worker_id]) + 1
        self.ends[worker_id] += (ended(number, command, kind),)
        self.report(worker_id)

    def report(self, worker_id):
        rows = [running(each, 100) for each in self.runs if each.worker_id == worker_id]
        self.harness.report(worker_id, rows, self.ends[worker_id])

    def wait(self, for_ms):
        """Let time pass, and return the starts of the scheduling passes."""
        commands = []
        for _ in range(for_ms // TICK_MS):
            self.harness.advance(TICK_MS)
            for each in self.harness.entries:
                self.report(each.worker_id)
            self.harness.commit()
            commands.extend(self.start())
        return commands


class AvoidedWorkerTests(AvoidanceFixture):
    """Guards against a task that waits for a full worker while another one has room.

    It avoids the one with room, where a run of it failed, stalled or was refused.
    """

    def assert_starts_again(self, failed):
        """The task waits for the other worker at first, and then stops waiting."""
        self.assertEqual(self.wait(AVOID_MS - TICK_MS), [])
        (command,) = self.wait(2 * TICK_MS)
        self.assertEqual(command.task, failed.task)
        self.assertEqual(command.worker_id, "roomy")

    def test_a_task_that_failed(self):
        self.set_up_workers()
        self.harness.accept(job(step()))
        (command,) = self.start()
        self.end(command)
        self.assert_starts_again(command)

    def test_a_lasting_task_that_failed(self):
        self.set_up_workers()
        self.harness.accept(job(step(long_running=True), queue=LONG_RUNNING))
        (command,) = self.start()
        self.end(command)
        self.assert_starts_again(command)

    def test_a_task_whose_start_was_refused(self):
        self.set_up_workers()
        self.harness.accept(job(step()))
        (command,) = self.harness.dispatch_starts()
        self.harness.reply_to_start(command, StartResult.REFUSED)
        self.assert_starts_again(command)

    def test_a_task_that_stalled(self):
        self.set_up_workers()
        self.harness.accept(job(step()))
        (command,) = self.start()
        self.assertEqual(self.wait(FleetSettings().stall_ms + 5 * TICK_MS), [])
        self.end(command, TerminationReason.STOPPED)
        self.assert_starts_again(command)

    def test_a_task_whose_other_worker_has_reached_the_limit(self):
        self.set_up_workers(full_cpu=10_000)
        self.harness.accept(job(step(width=2, max_per_worker=1)))
        commands = self.start()
        (command,) = (each for each in commands if each.worker_id == "roomy")
        self.end(command)
        self.assert_starts_again(command)

    def test_a_gang(self):
        self.set_up_workers()
        self.harness.accept(job(step(width=2, gang=True), queue=BACKGROUND))
        first, second = self.start()
        self.end(second)
        self.end(first, TerminationReason.GANG_MEMBER_TERMINATED)
        self.assertEqual(self.wait(AVOID_MS - TICK_MS), [])
        self.assertEqual(len(self.wait(2 * TICK_MS)), 2)

    def test_a_task_whose_worker_has_completed_another_run_since(self):
        """The worker does not fail all it gets, so the task waits no longer."""
        self.set_up_workers()
        self.harness.accept(job(step()))
        (command,) = self.start()
        self.harness.accept(job(step(), job_id="00000000000000ac"))
        (other,) = self.start()
        self.end(command)
        self.assertEqual(self.wait(3 * TICK_MS), [])
        self.end(other, TerminationReason.DONE)
        (again,) = self.start()
        self.assertEqual((again.task, again.worker_id), (command.task, "roomy"))

    def test_the_wait_does_not_begin_again_with_a_start_that_was_refused(self):
        """The job has nothing running all the while."""
        self.set_up_workers(entry("unhealthy", cpu=1_000))
        self.harness.accept(job(step()))
        (command,) = self.start()
        self.assertEqual(command.worker_id, "roomy")
        self.end(command)
        (refused,) = self.harness.dispatch_starts()
        self.harness.now_ms += AVOID_MS - TICK_MS
        self.harness.reply_to_start(refused, StartResult.REFUSED)
        (command,) = self.wait(2 * TICK_MS)
        self.assertEqual(command.worker_id, "roomy")


class FailingWorkerTests(AvoidanceFixture):
    """Guards against a worker that fails all it gets and uses up a job's attempts.

    It always has room, and a sound worker has room as well or is about to.
    """

    def set_up_sound_worker(self, **fields):
        self.set_up_workers(entry("sound", **fields))

    def test_a_task_uses_the_sound_worker_from_then_on(self):
        self.set_up_sound_worker(cpu=9_000)
        self.harness.accept(job(step()))
        (command,) = self.start()
        self.assertEqual(command.worker_id, "roomy")
        self.end(command)
        (command,) = self.wait(TICK_MS)
        self.assertEqual(command.worker_id, "sound")

    def test_a_task_prefers_the_sound_worker_after_its_wait_as_well(self):
        self.set_up_sound_worker(cpu=1_000)
        self.harness.accept(job(step()))
        (command,) = self.start()
        self.harness.accept(job(step(), job_id="00000000000000ac"))
        (other,) = self.start()
        self.assertEqual((command.worker_id, other.worker_id), ("roomy", "roomy"))
        self.end(command)
        (command,) = self.start()
        self.assertEqual(command.worker_id, "sound")
        self.end(command, TerminationReason.STOPPED)
        self.harness.now_ms += AVOID_MS
        self.harness.commit()
        (command,) = self.start()
        self.assertEqual(command.worker_id, "sound")

    def test_a_gang_leaves_the_worker_where_any_of_its_tasks_failed(self):
        self.set_up_sound_worker(cpu=5_000)
        self.harness.accept(job(step(width=2, gang=True), queue=BACKGROUND))
        first, second = self.start()
        self.assertEqual({first.worker_id, second.worker_id}, {"roomy"})
        self.end(second)
        self.end(first, TerminationReason.GANG_MEMBER_TERMINATED)
        commands = self.wait(TICK_MS)
        self.assertEqual([each.worker_id for each in commands], ["sound", "sound"])

    def test_a_task_waits_for_a_new_ticket_of_the_sound_worker(self):
        """Its ticket has expired, so only the failing worker is a candidate."""
        harness = FleetHarness(entry("failing"), entry("sound", cpu=9_000))
        harness.report_all()
        harness.accept(job(step(), queue=ADVISED))
        (request,) = self.requests(harness)
        harness.reply_with_advice(request, {"failing": "t", "sound": "t"})
        harness.now_ms += 1_000
        (command,) = harness.dispatch_starts()
        self.assertEqual(command.worker_id, "failing")
        harness.confirm_start(command)
        task_step = harness.open_steps()[0]
        task_step.tickets["sound"].until_ms = harness.now_ms
        harness.report("failing", ended=[ended(1, command, TerminationReason.FAILED)])
        self.assertEqual(harness.dispatch_starts(), [])

    def requests(self, harness):
        return [each for each in harness.dispatch() if isinstance(each, RequestAdvice)]


class FreeRoomTests(AvoidanceFixture):
    """Guards against room that is kept from a task for good while the service is idle.

    Only workers with the label `lasting` may run the task.
    """

    def wait_for_start(self, *, width=1, gang=False, idle_cpu=10_000):
        """Return the starts of a background task before and after its wait."""
        self.set_up_workers(entry("idle", cpu=idle_cpu), full_cpu=6_000)
        spec = step(width, 3_500 // width, required_label="lasting", gang=gang)
        self.harness.accept(job(spec, queue=BACKGROUND))
        before = self.wait(AVOID_MS - TICK_MS)
        return before, self.wait(3 * TICK_MS)

    def test_the_reserve_for_urgent_work(self):
        before, after = self.wait_for_start()
        self.assertEqual(before, [])
        self.assertEqual([each.worker_id for each in after], ["full"])

    def test_the_reserve_for_urgent_work_and_a_gang(self):
        before, after = self.wait_for_start(width=2, gang=True)
        self.assertEqual(before, [])
        self.assertEqual([each.worker_id for each in after], ["full", "full"])

    def test_the_reserve_is_kept_while_another_task_of_the_job_runs(self):
        """The job makes progress, and urgent work may come to this worker."""
        self.set_up_workers(entry("idle"), full_cpu=9_000)
        spec = step(2, 3_500, required_label="lasting")
        self.harness.accept(job(spec, queue=BACKGROUND))
        self.assertEqual(len(self.start()), 1)
        self.assertEqual(self.wait(2 * AVOID_MS), [])

    def test_the_reserve_is_kept_while_the_service_is_busy(self):
        self.set_up_workers(full_cpu=6_000)
        busy = step(width=9, long_running=True, required_label="a", max_per_worker=8)
        self.harness.accept(job(busy, queue=LONG_RUNNING, job_id="00000000000000ac"))
        self.start()
        spec = step(cpu=3_500, required_label="lasting")
        self.harness.accept(job(spec, queue=BACKGROUND))
        self.assertEqual(self.wait(2 * AVOID_MS), [])


class QuarantineTests(AvoidanceFixture):
    """Guards against a quarantine that keeps the only worker with room from a task."""

    def quarantine_roomy(self):
        """Fail runs of two jobs on `roomy`, so that it is quarantined."""
        for number in range(FleetSettings().quarantine_failures):
            job_id = f"{number % 2 + 1:016x}"
            self.harness.accept(job(step(width=3, required_label="b"), job_id=job_id))
        commands = self.start()
        for command in commands[1:4]:
            self.end(command)
        for number in (1, 2):
            self.harness.handle(JobCancelled(f"{number:016x}"))

    def set_up(self):
        self.set_up_workers(entry("idle", cpu=9_000))
        labels = {"full": ("a", "lasting"), "roomy": ("a", "b"), "idle": ("c",)}
        self.harness.entries = tuple(
            each._replace(labels=labels[each.worker_id])
            for each in self.harness.entries
        )
        self.harness.handle(WorkersListed(self.harness.entries))
        self.quarantine_roomy()

    def test_it_ends_early_for_a_task_that_no_other_worker_can_run(self):
        self.set_up()
        self.harness.accept(job(step(required_label="b")))
        self.assertEqual(self.wait(AVOID_MS - TICK_MS), [])
        (command,) = self.wait(4 * TICK_MS)
        self.assertEqual(command.worker_id, "roomy")

    def test_it_lasts_for_a_task_that_has_room_elsewhere(self):
        self.set_up()
        self.harness.accept(job(step(required_label="c")))
        (command,) = self.wait(AVOID_MS + 4 * TICK_MS)
        self.assertEqual(command.worker_id, "idle")
        self.harness.accept(job(step(required_label="b"), job_id="00000000000000ac"))
        self.assertEqual(self.wait(AVOID_MS - TICK_MS), [])

    def test_it_lasts_while_the_service_is_busy(self):
        self.set_up()
        busy = step(width=7, long_running=True, required_label="c")
        self.harness.accept(job(busy, queue=LONG_RUNNING, job_id="00000000000000ac"))
        self.assertEqual(len(self.start()), 7)
        self.harness.accept(job(step(required_label="b")))
        self.assertEqual(self.wait(AVOID_MS + 4 * TICK_MS), [])

    def test_a_worker_that_refuses_starts_is_not_asked_at_once_again(self):
        self.set_up()
        self.harness.accept(job(step(required_label="b")))
        self.wait(AVOID_MS)
        refusals = 0
        for _ in range(20):
            self.harness.advance(TICK_MS)
            for each in self.harness.entries:
                self.report(each.worker_id)
            self.harness.commit()
            for command in self.harness.dispatch_starts():
                self.harness.reply_to_start(command, StartResult.REFUSED)
                refusals += 1
        self.assertEqual(refusals, 2)


class AvoidancePreemptionTests(AvoidanceFixture):
    """Guards against a run that is preempted for nothing."""

    def preempted(self):
        """Return the workers on which the next scheduling pass preempts runs."""
        effects = self.harness.advance(TICK_MS) + self.harness.dispatch()
        return [each.worker_id for each in stops(effects)]

    def fill(self, worker_id, cpu):
        """Start a background run that needs all free processors of the worker."""
        label = {"full": "lasting", "roomy": "roomy"}[worker_id]
        spec = step(cpu=cpu, required_label=label, checkpointable=True)
        self.harness.accept(job(spec, queue=BACKGROUND, job_id=f"{cpu:016x}"))
        (command,) = self.start()
        self.assertEqual(command.worker_id, worker_id)

    def set_up_roomy(self, full_cpu):
        self.set_up_workers(full_cpu=full_cpu)
        labels = ("a", "roomy")
        listed = [self.harness.entries[0], entry("roomy", labels=labels)]
        self.harness.handle(WorkersListed(tuple(listed)))

    def test_nothing_is_preempted_for_a_task_that_has_room_elsewhere(self):
        self.set_up_roomy(full_cpu=4_000)
        self.fill("full", 1_000)
        self.harness.accept(job(step(cpu=2_000)))
        (command,) = self.start()
        self.end(command)
        self.assertEqual(self.preempted(), [])

    def test_nothing_is_preempted_on_a_worker_that_the_task_does_not_use(self):
        """Once the task has waited, it does use the worker."""
        self.set_up_roomy(full_cpu=2_000)
        self.harness.accept(job(step()))
        (command,) = self.start()
        self.end(command)
        self.fill("roomy", 9_500)
        self.assertEqual(self.preempted(), [])
        self.harness.now_ms += AVOID_MS
        self.harness.commit()
        self.assertEqual(self.preempted(), ["roomy"])


if __name__ == "__main__":
    unittest.main()
