"""Tests of the daily report and its statistics."""

import json
import unittest

from marigoldpath_bench.zone_simulation import (
    Callers,
    MessageFaults,
    ZoneSimulation,
    ZoneSimulationSettings,
)
from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.report import (
    REPORT_SECTIONS,
    WAIT_BOUNDS_MS,
    WAIT_BUCKET_COUNT,
    DailyStatistics,
    DayCounters,
    DayRecord,
    Flood,
    FloodDetector,
    FloodShare,
    HostRemoval,
    KindDay,
    Refusal,
    TeamDay,
    WaitCause,
    decode_day,
    encode_day,
    encode_report,
    make_report,
    merge_days,
    wait_bucket,
    wait_percentile_ms,
)
from marigoldpath_core.requests import Size


def waits(**by_ms: int) -> tuple[int, ...]:
    counts = [0] * WAIT_BUCKET_COUNT
    for name, count in by_ms.items():
        counts[wait_bucket(int(name[1:]))] += count
    return tuple(counts)


def sample_day(zone: str = "zadar") -> DayRecord:
    return DayRecord(
        day="2031-05-07",
        availability_zones=(zone,),
        kinds=(
            KindDay("plan", 110, 90, 12, 1, 2, 3, 2, 7_200, waits=waits(_4=97, _900=3)),
            KindDay("watch"),
        ),
        teams=(TeamDay("workshop", 90, 12, 7_200),),
        wait_causes=(WaitCause("plan", "capacity", 30, 60_000),),
        refusals=(
            Refusal("plan", "workshop", "over_quota", "cpu_millis", 9, 8_000, 4_500),
            Refusal("plan", "workshop", "strange", requests=3, message="Call us."),
        ),
        floods=(Flood("plan", "10:15", 20, (FloodShare("watch", 10.0, 5.0),)),),
        hosts=(HostRemoval("worker-3", zone, "failing", "11:02", "", 4),),
    )


CONFIGURATION = Configuration(1, (WorkKind("plan"), WorkKind("watch", floor=0.1)))


class ReportTests(unittest.TestCase):
    def section(self, name: str, record: DayRecord | None = None) -> str:
        """Return the JSON text of one section."""
        report = make_report(record or sample_day(), CONFIGURATION)
        found = next(s for s in encode_report(report)["sections"] if s["name"] == name)
        return json.dumps(found)

    def test_every_section_has_a_summary_for_an_empty_record(self) -> None:
        report = make_report(DayRecord("2031-05-07", ("zadar",)), CONFIGURATION)
        self.assertEqual(len(report.sections), len(list(REPORT_SECTIONS)))
        for section in report.sections:
            self.assertTrue(section.summary[0], section.name)

    def test_advice_on_a_refusal_uses_the_units_of_the_sheet(self) -> None:
        text = self.section("refusals")
        self.assertIn("from 4.5 processor cores to at least 8 processor cores", text)
        self.assertIn("Call us.", text)

    def test_a_refusal_without_figures_shows_its_message(self) -> None:
        refusal = Refusal("plan", "workshop", "never_fits", requests=1, message="Why.")
        record = sample_day()._replace(refusals=(refusal,))
        self.assertIn("Why.", self.section("refusals", record))

    def test_waits_are_listed_with_a_text_for_their_cause(self) -> None:
        text = self.section("waits")
        self.assertIn("no worker had room", text)
        self.assertIn('["plan", "5 ms", "1.1 s"]', text)
        self.assertIn('["watch", "none started", "none started"]', text)

    def test_a_kind_that_completed_less_during_a_flood_gets_advice(self) -> None:
        self.assertIn('"50%", "10%", "raise the floor', self.section("floods"))

    def test_unknown_outcomes_are_in_the_summary(self) -> None:
        self.assertIn("nobody can say whether they ran", self.section("work"))

    def test_a_host_that_is_still_removed_is_marked(self) -> None:
        self.assertIn("still out", self.section("hosts"))


class DayCountersTests(unittest.TestCase):
    def test_the_record_contains_all_counts(self) -> None:
        counters = DayCounters()
        for wait_ms in (4, 900):
            counters.count_submitted("plan")
            counters.count_started("plan", wait_ms, "capacity" if wait_ms > 100 else "")
            counters.count_done("plan", "workshop", 10, 600)
        for needed in (8, 9, 7):
            counters.count_refused(
                Refusal("plan", "w", "over_quota", "slots", 0, needed, 4)
            )
        counters.host_removed(HostRemoval("w1", "zadar", "failing", "10:00"))
        counters.host_restored("w1", "11:00")
        record = counters.record("2031-05-07", "zadar", {"watch": 2}, {})
        plan, watch = record.kinds
        self.assertEqual((plan.done, plan.refused, plan.cpu_seconds), (2, 3, 1))
        self.assertEqual((plan.done_by_hour[10], sum(plan.waits)), (2, 2))
        self.assertEqual(watch.still_waiting, 2)
        self.assertEqual(record.wait_causes[0].total_ms, 900)
        self.assertEqual(record.refusals[0][4:6], (3, 9))
        self.assertEqual(record.hosts[0].back_at, "11:00")
        self.assertEqual(decode_day(encode_day(record)).unwrap(), record)

    def test_names_chosen_by_callers_use_bounded_memory(self) -> None:
        counters = DayCounters()
        for number in range(3_000):
            counters.count_refused(Refusal("plan", f"t{number}", "over_quota"))
        record = counters.record("2031-05-07", "zadar", {}, {})
        self.assertEqual((len(record.refusals), len(record.teams)), (1_000, 1_000))
        self.assertEqual(record.kinds[0].refused, 3_000)


class DailyStatisticsTests(unittest.TestCase):
    def test_a_new_day_begins_at_zero_and_keeps_the_previous_record(self) -> None:
        statistics = DailyStatistics("zadar")
        noon = 86_400_000 * 3 // 2
        statistics.advance(noon)
        statistics.count_submitted("plan")
        statistics.host_removed("w1", "failing", noon)
        self.assertFalse(statistics.is_day_over(noon + 1_000))
        tomorrow = noon + 86_400_000
        self.assertTrue(statistics.is_day_over(tomorrow))
        statistics.begin_day(tomorrow, statistics.record({}, {}, tomorrow))
        record = statistics.record({}, {}, tomorrow)
        assert statistics.previous_day is not None
        self.assertEqual(
            (statistics.previous_day.day, record.day), ("1970-01-02", "1970-01-03")
        )
        self.assertEqual(
            (statistics.previous_day.kinds[0].submitted, record.kinds), (1, ())
        )
        self.assertEqual([host.host for host in record.hosts], ["w1"])

    def test_the_cpu_time_of_a_long_running_task_is_counted_once(self) -> None:
        """Guards against adding the whole run at each report.

        That doubled the core hours.
        """
        statistics = DailyStatistics("zadar")
        for now_ms in (3_000, 5_000, 9_000):
            statistics.count_cpu_time(
                "watch#1.0", "watch", "loft", 2_000, (1_000, now_ms)
            )
        record = statistics.record({}, {}, 9_000)
        self.assertEqual(record.kinds[0].cpu_seconds, 16)
        self.assertEqual(record.teams[0].cpu_seconds, 16)


class FloodDetectorTests(unittest.TestCase):
    def test_a_flood_is_reported_with_the_completed_requests_of_other_kinds(
        self,
    ) -> None:
        detector = FloodDetector()
        ended = []
        for second in range(121):
            flooding = 60 <= second < 100
            for _ in range(50 if flooding else 2):
                detector.count_submitted("plan")
            for kind, count in (("plan", 2), ("check", 1 if flooding else 4)):
                for _ in range(count):
                    detector.count_started(kind)
                    detector.count_done(kind)
            ended.extend(detector.advance(second * 1_000))
        (flood,) = ended
        self.assertEqual(flood[:3], ("plan", "00:01", 1))
        kept = {share.kind: share[1:] for share in flood.shares}
        self.assertAlmostEqual(kept["check"][0], 240, delta=10)
        self.assertAlmostEqual(kept["check"][1], 60, delta=20)

    def test_many_requests_that_are_all_started_are_no_flood(self) -> None:
        detector = FloodDetector()
        for second in range(60):
            for _ in range(500):
                detector.count_submitted("check")
                detector.count_started("check")
            self.assertEqual(detector.advance(second * 1_000), [])
        self.assertEqual(detector.in_progress(60_000), [])


class SchedulerStatisticsTests(unittest.TestCase):
    """Tests of the statistics that the leader of a simulated zone collects."""

    def setUp(self) -> None:
        self.simulation = ZoneSimulation(
            ZoneSimulationSettings(workers=1), MessageFaults(1)
        )
        self.callers = Callers(self.simulation)
        assert self.simulation.run_until(lambda: bool(self.simulation.serving), 15_000)

    def record(self) -> DayRecord:
        (leader,) = self.simulation.serving
        return self.simulation.scheduler(leader).day_record(self.simulation.now_ms)

    def test_every_request_is_counted_in_exactly_one_column(self) -> None:
        """Guards against sums that are inconsistent.

        They were when a request was counted twice or not at all.
        """
        self.callers.submit("done", work={"run_ms": 100})
        self.callers.submit("large", size=Size(1, 300_000, 0, 1, 1))
        self.callers.submit("cancelled", work={"run_ms": 60_000})
        self.callers.submit("running", work={"run_ms": 60_000})
        self.callers.run(500)
        self.callers.cancel("cancelled")
        self.callers.run(1_000)
        (kind,) = [k for k in self.record().kinds if k.kind == "alignment_check"]
        self.assertEqual(kind[1:8], (4, 1, 1, 0, 1, 0, 1))
        self.assertEqual(kind.cpu_seconds, 2)
        (refusal,) = self.record().refusals
        self.assertEqual(refusal[3:7], ("memory_mb", 1, 300_000, 256_000))

    def test_a_wait_has_a_cause_and_an_immediate_start_has_none(self) -> None:
        whole = Size(64_000, 1_000, 0, 1, 1)
        self.callers.submit("first", size=whole, work={"run_ms": 3_000})
        self.callers.run(200)
        self.callers.submit("second", size=whole, work={"run_ms": 100})
        self.callers.run(5_000)
        (cause,) = self.record().wait_causes
        self.assertEqual(cause[:3], ("alignment_check", "capacity", 1))
        self.assertAlmostEqual(cause.total_ms, 2_900, delta=300)

    def test_a_draining_worker_is_recorded(self) -> None:
        self.simulation.draining_workers.add("w1")
        self.callers.run(2_000)
        (host,) = self.record().hosts
        self.assertEqual((host.host, host.cause, host.back_at), ("w1", "leaving", ""))


class DayRecordTests(unittest.TestCase):
    def test_an_encoded_record_decodes_to_the_same_record(self) -> None:
        payload = json.loads(json.dumps(encode_day(sample_day())))
        self.assertEqual(decode_day(payload).unwrap(), sample_day())

    def test_decoding_an_invalid_record_returns_an_error(self) -> None:
        short = {**encode_day(sample_day()), "kinds": [{"kind": "a", "waits": [1]}]}
        for payload in (None, [], {}, short):
            self.assertTrue(decode_day(payload).is_err())

    def test_records_of_zones_are_merged(self) -> None:
        merged = merge_days([sample_day("zadar"), sample_day("rijeka")])
        self.assertEqual(merged.availability_zones, ("zadar", "rijeka"))
        self.assertEqual(merged.kinds[0].done, 180)
        self.assertEqual(wait_percentile_ms(merged.kinds[0].waits, 0.5), 5)
        self.assertEqual(merged.refusals[0].requests, 18)
        self.assertEqual(len(merged.hosts), 2)

    def test_each_wait_is_counted_in_its_bucket(self) -> None:
        for index, bound in enumerate(WAIT_BOUNDS_MS):
            self.assertEqual(
                (wait_bucket(bound), wait_bucket(bound + 1)), (index, index + 1)
            )


if __name__ == "__main__":
    unittest.main()
