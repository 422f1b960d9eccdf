"""Tests of the recording of traces."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from marigoldpath_bench.replay import read_trace_file
from marigoldpath_core.configuration import Configuration
from marigoldpath_core.messages import HostsListed, Tick, WorkerFailed
from marigoldpath_core.replay import ConfigurationApplied, DrainBegun, replay_trace
from marigoldpath_core.scheduler import ZoneScheduler
from marigoldpath_core.settings import ObservabilitySettings
from marigoldpath_node.observability import TraceWriter
from marigoldpath_node.runtime._recording import RecordingScheduler

from .fakes import make_settings, null_telemetry


class RecordingTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "trace"

    def recording(self, size: int = 100_000) -> RecordingScheduler:
        observability = ObservabilitySettings(
            trace_path=str(self.path), trace_bytes=size
        )
        settings = make_settings(observability=observability)
        log = null_telemetry(settings).log
        writer = TraceWriter(observability, log)
        scheduler = ZoneScheduler(settings, "i-1")
        return RecordingScheduler(scheduler, writer, settings, "i-1")

    def test_recorded_trace_can_be_replayed(self) -> None:
        """Guards against a call that is not recorded: all later events would differ."""
        scheduler = self.recording()
        scheduler.configure(Configuration(2))
        scheduler.handle(HostsListed(()), 1_000)
        scheduler.handle(Tick(), 1_100)
        scheduler.drain()
        trace = read_trace_file(self.path)
        types = [type(traced.event) for traced in trace.events]
        self.assertEqual(types, [ConfigurationApplied, HostsListed, Tick, DrainBegun])
        self.assertEqual(replay_trace(trace).differences, ())

    def test_trace_stops_at_its_size_limit_and_scheduling_continues(self) -> None:
        scheduler = self.recording(size=4_000)
        for number in range(500):
            scheduler.handle(Tick(), 1_000 + number)
        self.assertLessEqual(self.path.stat().st_size, 4_000)
        self.assertGreater(len(read_trace_file(self.path).events), 10)

    def test_event_that_raises_an_exception_is_recorded(self) -> None:
        scheduler = self.recording()
        with patch.object(ZoneScheduler, "handle", side_effect=KeyError("x")):
            self.assertRaises(KeyError, scheduler.handle, Tick(), 1_000)
        (traced,) = read_trace_file(self.path).events
        self.assertEqual(traced.effects, "raised KeyError")

    def test_event_without_json_form_ends_the_trace_but_not_the_daemon(
        self,
    ) -> None:
        scheduler = self.recording()
        scheduler.handle(WorkerFailed("w1", object()), 1_000)  # type: ignore[arg-type]
        scheduler.handle(Tick(), 1_100)
        self.assertEqual(read_trace_file(self.path).events, ())

    def test_trace_is_not_written_to_a_pipe(self) -> None:
        """A long line written to a pipe with a slow reader would block the loop."""
        os.mkfifo(self.path)
        reader = os.open(self.path, os.O_RDONLY | os.O_NONBLOCK)
        self.recording().handle(Tick(), 1_000)
        self.assertEqual(os.read(reader, 10), b"")
        os.close(reader)


if __name__ == "__main__":
    unittest.main()
