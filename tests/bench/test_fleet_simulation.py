"""Search the simulated cell for violations under random sequences of faults."""

import unittest

from marigoldpath_bench.fleet_simulation import (
    FleetSearch,
    FleetSimulation,
    FleetSimulationSettings,
    SubmissionReply,
)
from marigoldpath_core.fleet import TerminationReason
from marigoldpath_core.jobs import (
    AcceptedJob,
    JobSpec,
    JobState,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
)

STEPS = 150
QUEUE = Queue("queue", "service", 0, 3, 1.5, 300)


class SearchTests(unittest.TestCase):
    def test_the_first_seeds_find_no_violation(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertEqual(FleetSearch(seed).run(STEPS), [])

    def test_seeds_that_once_found_a_violation_find_none(self):
        """Guard against the faults that these seeds once exposed."""
        causes = {
            6: "a command in flight reached the next incarnation of a worker",
            11: "a gang could never leave the share of urgent jobs free",
            14: "a report was compared with a reply of another incarnation",
            16: "the resources of an orphaned run were not counted",
            24: "a superseded leader reached the next incarnation of a worker",
            808: "a restarted worker dropped terminations by an old sequence number",
            700: "a run was abandoned on a worker unresponsive after its first report",
            384: "a start relied on a roster that a lost commit had closed",
        }
        for seed, cause in causes.items():
            with self.subTest(seed=seed, cause=cause):
                # These were found before the search had zones, stale epochs,
                # suspended leaders and tasks that crash workers.
                violations = FleetSearch(
                    seed,
                    stale_epoch_rate=0.0,
                    zones=1,
                    with_suspensions=False,
                    with_crashing_tasks=False,
                ).run(STEPS)
                self.assertEqual(violations, [])

    def test_scheduled_jobs_and_clocks_that_differ_find_no_violation(self):
        """Guard against the faults that these seeds once exposed."""
        causes = {
            1: "none",
            3: "a new leader stopped and repeated reported tasks of an occurrence",
            104: "a commit dropped the progress of an occurrence that had not begun",
        }
        for seed, cause in causes.items():
            with self.subTest(seed=seed, cause=cause):
                search = FleetSearch(seed, with_scheduled_jobs=True)
                self.assertEqual(search.run(STEPS), [])


class OracleTests(unittest.TestCase):
    """Guard against an oracle that misses violations or reports false ones."""

    def setUp(self):
        self.simulation = FleetSimulation(1, FleetSimulationSettings(workers=1))
        spec = JobSpec("00000000000000aa", "", (StepSpec(1, Resources(1, 1, 0)),))
        self.job = AcceptedJob(spec, QUEUE, 0, 0)
        self.simulation.oracle.record_job(self.job)
        self.task = (spec.job_id, 0, 0, 0)

    def start(self, at_ms):
        return self.simulation.oracle.record_start(TaskKey(*self.task), 1, "w0", at_ms)

    def crash(self, times):
        task = TaskKey(*self.task)
        self.simulation.oracle.record_crashing_task(task)
        for at_ms in range(times):
            self.simulation.oracle.record_crash(task, at_ms)

    def test_a_task_may_be_started_twice_more_after_three_crashes(self):
        self.crash(4)
        self.start(100).end_ms = 110.0
        self.assertEqual(self.rules(JobState.FAILED), [])
        self.crash(5)
        self.start(200).end_ms = 210.0
        self.assertEqual(self.rules(JobState.FAILED), ["BUDGET"])

    def test_a_job_without_two_crashes_must_not_be_given_up(self):
        self.crash(1)
        self.assertEqual(self.rules(JobState.FAILED), ["LOST"])

    def rules(self, state=JobState.DONE):
        violations = self.simulation.oracle.violations({self.job.spec.job_id: state})
        return [violation.rule for violation in violations]

    def test_overlapping_runs_of_a_task_are_a_violation(self):
        self.start(0)
        self.start(1)
        self.assertIn("TWICE", self.rules())

    def test_a_start_after_an_acknowledged_completion_is_a_violation(self):
        run = self.start(0)
        run.end_ms, run.reason, run.acknowledged_ms = 1, TerminationReason.DONE, 2
        self.start(3)
        self.assertIn("TWICE", self.rules())

    def test_a_run_of_a_refused_job_is_a_violation(self):
        self.simulation.oracle.record_job(self.job, SubmissionReply.REFUSED)
        self.assertEqual(self.rules(None), [])
        self.start(0)
        self.assertEqual(self.rules(None), ["REFUSED"])

    def test_a_job_without_a_reply_may_or_may_not_exist(self):
        self.simulation.oracle.record_job(self.job, SubmissionReply.UNKNOWN)
        self.assertEqual(self.rules(None), [])
        self.assertEqual(self.rules(JobState.FAILED), ["LOST"])

    def test_a_false_state_or_a_missing_job_is_a_violation(self):
        self.assertEqual(self.rules(JobState.DONE), ["MIXED"])
        self.assertEqual(self.rules(JobState.FAILED), ["LOST"])
        self.assertEqual(self.rules(None), ["LOST"])


if __name__ == "__main__":
    unittest.main()
