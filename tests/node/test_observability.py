"""Tests of logs, spans and metrics."""

import json
import os
import socket
import tempfile
import threading
import unittest

from marigoldpath_core.settings import ObservabilitySettings
from marigoldpath_node.observability import (
    LineWriter,
    Metrics,
    SpanWriter,
    Telemetry,
    parse_traceparent,
)

from .fakes import make_settings

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class LineWriterTests(unittest.TestCase):
    def test_a_reader_that_stops_reading_does_not_block_the_loop(self) -> None:
        reader, writer = os.pipe()
        lines = LineWriter(writer)
        for _ in range(200):
            lines.write("x" * 4_000)
        self.assertGreater(lines.dropped, 0)
        os.close(reader)
        before = lines.dropped
        self.assertFalse(lines.write("x"))
        self.assertEqual(lines.dropped, before + 1)
        os.close(writer)


class LoggerTests(unittest.TestCase):
    def test_each_line_is_one_json_object_with_host_and_zone(self) -> None:
        with tempfile.TemporaryFile() as file:
            log = Telemetry(make_settings(), file.fileno()).log
            log.info("placed", request="t/zadar/r1", reason="two\nlines")
            log.debug("left out")
            log.info("long", text="y" * 100_000)
            log.info("many", **{f"f{number}": "z" * 900 for number in range(20)})
            file.seek(0)
            lines = [json.loads(line) for line in file.read().splitlines()]
        self.assertEqual(lines[0]["zone"], "zadar")
        self.assertEqual(lines[0]["request"], "t/zadar/r1")
        self.assertEqual([line["event"] for line in lines[:2]], ["placed", "long"])
        self.assertEqual(len(lines), 3)


class SpanTests(unittest.TestCase):
    def test_a_span_is_a_child_of_the_span_in_the_header(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "spans")
            spans = SpanWriter(ObservabilitySettings(span_path=path), "e1")
            span = spans.start("submit", PARENT)
            spans.end(span, {"request": "r"}, "broken")
            with open(path, encoding="utf-8") as file:
                line = json.loads(file.read())
        self.assertEqual(line["traceId"], "0af7651916cd43dd8448eb211c80319c")
        self.assertEqual(line["parentSpanId"], "b7ad6b7169203331")
        self.assertEqual(line["status"]["message"], "broken")
        context = parse_traceparent(span.traceparent)
        assert context is not None
        self.assertEqual(context.span_id, line["spanId"])

    def test_a_malformed_header_starts_a_new_trace(self) -> None:
        for header in ("", "00-zz", PARENT.replace("b7ad6b7169203331", "0" * 16)):
            span = SpanWriter(ObservabilitySettings(), "e1").start("x", header)
            self.assertEqual(span.parent_id, "")

    def test_a_pipe_without_a_reader_only_drops_spans(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "pipe")
            os.mkfifo(path)
            spans = SpanWriter(ObservabilitySettings(span_path=path), "e1")
            for _ in range(3):
                spans.end(spans.start("x"), {})
        self.assertEqual(spans.dropped, 3)


class MetricsTests(unittest.TestCase):
    def test_counters_are_sent_as_increments(self) -> None:
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(2)
        address = f"127.0.0.1:{receiver.getsockname()[1]}"
        metrics = Metrics(ObservabilitySettings(statsd_address=address), "e1")
        metrics.count("starts", 3)
        metrics.flush()
        self.assertEqual(receiver.recv(1_000), b"marigoldpath.e1.starts:3|c")
        metrics.count("starts")
        metrics.gauge("serving", 1)
        metrics.flush()
        sent = receiver.recv(1_000).split(b"\n")
        self.assertIn(b"marigoldpath.e1.starts:1|c", sent)
        receiver.close()

    def test_a_missing_receiver_starts_no_thread_and_bounds_memory(self) -> None:
        settings = ObservabilitySettings(statsd_address="127.0.0.1:1")
        metrics = Metrics(settings, "e1")
        for number in range(5_000):
            metrics.count(f"n{number}")
            metrics.gauge(f"n{number}", 1)
        metrics.flush()
        self.assertLessEqual(len(metrics.counters), 1_000)
        self.assertEqual(threading.active_count(), 1)


if __name__ == "__main__":
    unittest.main()
