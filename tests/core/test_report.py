"""Tests of the day's report."""

import json
import unittest

from marigoldpath_bench.world import Callers, Faults, World, WorldSettings
from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.report import (
    REPORT_SECTIONS,
    WAIT_BOUNDS_MS,
    WAIT_CLASSES,
    DailyStatistics,
    DayCounters,
    DayRecord,
    Flood,
    FloodShare,
    FloodWatch,
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
    wait_at,
    wait_class,
)
from marigoldpath_core.requests import Size


def waits(**by_ms: int) -> tuple[int, ...]:
    counts = [0] * WAIT_CLASSES
    for name, count in by_ms.items():
        counts[wait_class(int(name[1:]))] += count
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

    def test_every_section_says_so_when_there_is_nothing_to_tell(self) -> None:
        report = make_report(DayRecord("2031-05-07", ("zadar",)), CONFIGURATION)
        self.assertEqual(len(report.sections), len(list(REPORT_SECTIONS)))
        for section in report.sections:
            self.assertTrue(section.summary[0], section.name)

    def test_a_refusal_says_what_to_change_in_the_sheets_units(self) -> None:
        text = self.section("refusals")
        self.assertIn("from 4.5 processor cores to at least 8 processor cores", text)
        self.assertIn("Call us.", text)

    def test_a_refusal_without_figures_gives_no_made_up_ones(self) -> None:
        refusal = Refusal("plan", "workshop", "never_fits", requests=1, message="Why.")
        record = sample_day()._replace(refusals=(refusal,))
        self.assertIn("Why.", self.section("refusals", record))

    def test_the_waits_are_given_with_their_cause_in_words(self) -> None:
        text = self.section("waits")
        self.assertIn("no worker had room", text)
        self.assertIn('["plan", "5 ms", "1.1 s"]', text)
        self.assertIn('["watch", "none started", "none started"]', text)

    def test_a_kind_that_lost_work_in_a_flood_gets_advice(self) -> None:
        self.assertIn('"50%", "10%", "raise the floor', self.section("floods"))

    def test_unknown_outcomes_are_pointed_out(self) -> None:
        self.assertIn("nobody can say whether they ran", self.section("work"))

    def test_a_host_that_is_still_out_is_named_as_such(self) -> None:
        self.assertIn("still out", self.section("hosts"))


class DayCountersTests(unittest.TestCase):
    def test_the_record_holds_what_was_counted(self) -> None:
        counters = DayCounters()
        for wait_ms in (4, 900):
            counters.submitted("plan")
            counters.started("plan", wait_ms, "capacity" if wait_ms > 100 else "")
            counters.done("plan", "workshop", 10, 600)
        for needed in (8, 9, 7):
            counters.refused(Refusal("plan", "w", "over_quota", "slots", 0, needed, 4))
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

    def test_names_that_callers_make_up_do_not_collect_memory(self) -> None:
        counters = DayCounters()
        for number in range(3_000):
            counters.refused(Refusal("plan", f"t{number}", "over_quota"))
        record = counters.record("2031-05-07", "zadar", {}, {})
        self.assertEqual((len(record.refusals), len(record.teams)), (1_000, 1_000))
        self.assertEqual(record.kinds[0].refused, 3_000)


class DailyStatisticsTests(unittest.TestCase):
    def test_a_new_day_begins_at_nought_and_keeps_the_last_one(self) -> None:
        book = DailyStatistics("zadar")
        noon = 86_400_000 * 3 // 2
        book.advance(noon)
        book.submitted("plan")
        book.host_removed("w1", "failing", noon)
        self.assertFalse(book.is_day_over(noon + 1_000))
        tomorrow = noon + 86_400_000
        self.assertTrue(book.is_day_over(tomorrow))
        book.begin_day(tomorrow, book.record({}, {}, tomorrow))
        record = book.record({}, {}, tomorrow)
        assert book.last is not None
        self.assertEqual((book.last.day, record.day), ("1970-01-02", "1970-01-03"))
        self.assertEqual((book.last.kinds[0].submitted, record.kinds), (1, ()))
        self.assertEqual([host.host for host in record.hosts], ["w1"])

    def test_a_long_running_task_is_charged_once_for_each_part_of_its_run(self) -> None:
        """Charging the whole run at each report doubled the core hours."""
        book = DailyStatistics("zadar")
        for now_ms in (3_000, 5_000, 9_000):
            book.count_cpu_time("watch#1.0", "watch", "loft", 2_000, (1_000, now_ms))
        record = book.record({}, {}, 9_000)
        self.assertEqual(record.kinds[0].cpu_seconds, 16)
        self.assertEqual(record.teams[0].cpu_seconds, 16)


class FloodWatchTests(unittest.TestCase):
    def test_a_flood_is_told_with_what_other_kinds_kept(self) -> None:
        watch = FloodWatch()
        ended = []
        for second in range(121):
            flooding = 60 <= second < 100
            for _ in range(50 if flooding else 2):
                watch.asked("plan")
            for kind, count in (("plan", 2), ("check", 1 if flooding else 4)):
                for _ in range(count):
                    watch.started(kind)
                    watch.done(kind)
            ended.extend(watch.advance(second * 1_000))
        (flood,) = ended
        self.assertEqual(flood[:3], ("plan", "00:01", 1))
        kept = {share.kind: share[1:] for share in flood.shares}
        self.assertAlmostEqual(kept["check"][0], 240, delta=10)
        self.assertAlmostEqual(kept["check"][1], 60, delta=20)

    def test_a_busy_kind_that_gets_what_it_asks_for_is_no_flood(self) -> None:
        watch = FloodWatch()
        for second in range(60):
            for _ in range(500):
                watch.asked("check")
                watch.started("check")
            self.assertEqual(watch.advance(second * 1_000), [])
        self.assertEqual(watch.in_progress(60_000), [])


class SchedulerDayTests(unittest.TestCase):
    """What the zone's leader counts, on the message-driven world."""

    def setUp(self) -> None:
        self.world = World(WorldSettings(workers=1), Faults(1))
        self.callers = Callers(self.world)
        assert self.world.run_until(lambda: bool(self.world.serving), 15_000)

    def record(self) -> DayRecord:
        (leader,) = self.world.serving
        return self.world.scheduler(leader).day_record(self.world.now_ms)

    def test_every_request_is_in_exactly_one_column(self) -> None:
        """A request that was counted twice or not at all made the sums disagree."""
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

    def test_a_wait_has_its_cause_and_a_request_that_starts_at_once_none(self) -> None:
        whole = Size(64_000, 1_000, 0, 1, 1)
        self.callers.submit("first", size=whole, work={"run_ms": 3_000})
        self.callers.run(200)
        self.callers.submit("second", size=whole, work={"run_ms": 100})
        self.callers.run(5_000)
        (cause,) = self.record().wait_causes
        self.assertEqual(cause[:3], ("alignment_check", "capacity", 1))
        self.assertAlmostEqual(cause.total_ms, 2_900, delta=300)

    def test_a_worker_that_leaves_is_named(self) -> None:
        self.world.leaving.add("w1")
        self.callers.run(2_000)
        (host,) = self.record().hosts
        self.assertEqual((host.host, host.cause, host.back_at), ("w1", "leaving", ""))


class DayRecordTests(unittest.TestCase):
    def test_the_json_form_keeps_everything(self) -> None:
        payload = json.loads(json.dumps(encode_day(sample_day())))
        self.assertEqual(decode_day(payload).unwrap(), sample_day())

    def test_json_that_is_no_record_is_an_error(self) -> None:
        short = {**encode_day(sample_day()), "kinds": [{"kind": "a", "waits": [1]}]}
        for payload in (None, [], {}, short):
            self.assertTrue(decode_day(payload).is_err())

    def test_zones_are_added_up(self) -> None:
        merged = merge_days([sample_day("zadar"), sample_day("rijeka")])
        self.assertEqual(merged.availability_zones, ("zadar", "rijeka"))
        self.assertEqual(merged.kinds[0].done, 180)
        self.assertEqual(wait_at(merged.kinds[0].waits, 0.5), 5)
        self.assertEqual(merged.refusals[0].requests, 18)
        self.assertEqual(len(merged.hosts), 2)

    def test_each_wait_is_counted_in_its_class(self) -> None:
        for index, bound in enumerate(WAIT_BOUNDS_MS):
            self.assertEqual(
                (wait_class(bound), wait_class(bound + 1)), (index, index + 1)
            )


if __name__ == "__main__":
    unittest.main()
