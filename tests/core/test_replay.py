"""Tests of traces and their replay."""

import typing
import unittest
from pathlib import Path

from marigoldpath_bench.replay import read_trace_file
from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.messages import (
    CancelRequested,
    EntryHost,
    Event,
    EventsPolled,
    HostsListed,
    HostState,
    Log,
    ObjectRead,
    OutcomeRefusedByOrigin,
    RequestSubmitted,
    Row,
    RowRead,
    RowReadFailed,
    RowsRead,
    RowsReadFailed,
    RowWriteReplied,
    RunningTask,
    StartsFailed,
    StartsReplied,
    StartStatus,
    StopTasks,
    TasksListed,
    TaskStatus,
    TaskTerminated,
    TaskUsage,
    Tick,
    UsageReported,
    WorkerFailed,
    WorkerHost,
    WorkerReport,
    WriteStatus,
)
from marigoldpath_core.replay import (
    EVENT_CODECS,
    ConfigurationApplied,
    DrainBegun,
    Trace,
    TracedEvent,
    TracedOutcome,
    TraceError,
    TraceHeader,
    effects_digest,
    event_lines,
    header_line,
    parse_trace,
    replay_trace,
    rerun,
)
from marigoldpath_core.requests import Answer, Origin, Request, RequestKey, Size
from marigoldpath_core.settings import AccessKey, DaemonSettings, ObservabilitySettings

TRACES = Path(__file__).resolve().parents[1] / "traces"
KEY = RequestKey("loft", "zadar", "r1")
ORIGIN = Origin("e1", 7)
SIZE = Size(1_000, 2, 3, 4, 5)
ROW = Row("leader/zadar", {"epoch": 1, "host": "e1"}, 4)
KINDS = (WorkKind("plan"),)
EVENTS: tuple[typing.Any, ...] = (
    Tick(),
    RowRead("leader/zadar", ROW),
    RowRead("leader/zadar", None),
    RowReadFailed("leader/zadar"),
    RowsRead("journal/", (ROW, ROW)),
    RowsReadFailed("journal/"),
    RowWriteReplied("leader/zadar", WriteStatus.CONFLICT, 5),
    ObjectRead("snapshot", {"a": [1]}, False),
    ObjectRead("snapshot", None, True),
    HostsListed(
        (WorkerHost("w1", "zadar", "r1", "10.0.0.1:1", SIZE, HostState.LEAVING),),
        (EntryHost("e1", "zadar", "10.0.0.2:1"),),
    ),
    TasksListed("w1", WorkerReport(9, "i", (RunningTask("t", "e1", 1, SIZE, 8),))),
    WorkerFailed("w1", "no reply"),
    StartsReplied("w1", 9, {"t": StartStatus.EXPIRED}),
    StartsFailed("w1", ("t", "u"), False),
    TaskTerminated("w1", "t", TaskStatus.DONE, Answer("text", 4, "d")),
    TaskTerminated("w1", "t", TaskStatus.LEASE_EXPIRED),
    EventsPolled("w1", 9, "i"),
    UsageReported("w1", (TaskUsage("t", SIZE),)),
    RequestSubmitted(
        Request(KEY, "plan", SIZE, False, False, 9, 2, 3, {"a": 1}), ORIGIN, "00-a"
    ),
    CancelRequested(KEY, ORIGIN),
    OutcomeRefusedByOrigin(ORIGIN),
    ConfigurationApplied(Configuration(3, KINDS)),
    DrainBegun(),
)


def header(**changes: typing.Any) -> TraceHeader:
    settings = DaemonSettings("e1", "jadran", "zadar", ("zadar",), "127.0.0.1:1")
    return TraceHeader("i-1", settings._replace(kinds=KINDS, **changes))


def encode_trace(trace: Trace) -> list[str]:
    lines = [header_line(trace.header)]
    for traced in trace.events:
        lines.extend(event_lines(traced))
    return lines


class CodecTests(unittest.TestCase):
    def test_every_event_of_the_core_has_a_codec_and_an_example_here(self) -> None:
        """Guards against an event type without a codec.

        Such an event stopped event handling in a daemon that recorded a trace.
        """
        known = {*typing.get_args(Event), ConfigurationApplied, DrainBegun}
        self.assertEqual(set(EVENT_CODECS), known)
        self.assertEqual({type(event) for event in EVENTS}, known)

    def test_an_encoded_trace_parses_to_the_same_trace(self) -> None:
        outcomes = (TracedOutcome(str(KEY), "not_run", "queue_full"),)
        events = tuple(
            TracedEvent(at, e, "ab", outcomes) for at, e in enumerate(EVENTS)
        )
        trace = Trace(header(), events)
        self.assertEqual(parse_trace(encode_trace(trace)), trace)


class TraceFileTests(unittest.TestCase):
    def test_the_header_contains_neither_access_keys_nor_paths(self) -> None:
        """Guards against disclosing secrets: operators send traces to other people."""
        observability = ObservabilitySettings(trace_path="/secret/place")
        keys = (AccessKey("hidden", "operator"),)
        line = header_line(header(keys=keys, observability=observability))
        self.assertNotIn("hidden", line)
        self.assertNotIn("secret", line)

    def test_a_truncated_last_line_is_ignored_and_other_errors_name_the_line(
        self,
    ) -> None:
        lines = encode_trace(Trace(header(), (TracedEvent(1, Tick()),)))
        self.assertEqual(len(parse_trace([*lines, '{"at_ms":2,"ev']).events), 1)
        cases = {
            "line 1": ['{"trace":9}'],
            "line 3": [*lines, '{"at_ms":2,"event":"strange"}'],
            "line 2": [lines[0], "{", lines[1]],
        }
        for place, broken in cases.items():
            with self.assertRaisesRegex(TraceError, place):
                parse_trace(broken)

    def test_the_order_of_effects_and_log_lines_do_not_change_the_digest(self) -> None:
        one, other = StopTasks("w1", ("t",)), StopTasks("w2", ("t",))
        digest = effects_digest([one, other])
        self.assertEqual(effects_digest([Log("x", {}), other, one]), digest)
        self.assertNotEqual(effects_digest([one]), digest)
        self.assertEqual(effects_digest([Log("x", {})]), "")


class ReplayTests(unittest.TestCase):
    def trace(self) -> Trace:
        events = (TracedEvent(1_000 + at, event) for at, event in enumerate(EVENTS))
        return rerun(Trace(header(), tuple(events)))

    def test_the_same_scheduler_code_reproduces_a_trace(self) -> None:
        result = replay_trace(self.trace())
        self.assertEqual(result.differences, ())
        line = f"replay: events={len(EVENTS)} requests=1 outcomes=1 differing=0"
        self.assertEqual(result.line(), line)

    def test_different_effects_and_outcomes_are_reported(self) -> None:
        trace = self.trace()
        changed = [event._replace(effects="", outcomes=()) for event in trace.events]
        result = replay_trace(trace._replace(events=tuple(changed)))
        names = [difference.location for difference in result.differences]
        self.assertIn(str(KEY), names)
        self.assertTrue(any(name.startswith("event 1 Tick") for name in names), names)

    def test_a_different_incarnation_changes_the_effects(self) -> None:
        """Guards against a digest that is independent of the content of rows."""
        trace = self.trace()
        other = trace._replace(header=trace.header._replace(incarnation="i-2"))
        self.assertTrue(replay_trace(other).differences)


class RecordedTraceTests(unittest.TestCase):
    """Replays of traces that were recorded from leaders in running fleets.

    After an intended change of the scheduler's decisions, review the differences and
    then run `python -m marigoldpath_bench.replay FILE --update`.
    """

    def check(self, name: str) -> None:
        path = TRACES / f"{name}.jsonl"
        self.assertLess(path.stat().st_size, 150_000)
        result = replay_trace(read_trace_file(path))
        self.assertEqual(result.differences, ())
        self.assertGreater(result.requests, 10)
        self.assertGreaterEqual(result.outcomes, result.requests)

    def test_a_leader_of_the_skala_deployment(self) -> None:
        self.check("skala")

    def test_a_leader_of_the_sfax_deployment(self) -> None:
        self.check("sfax")


if __name__ == "__main__":
    unittest.main()
