"""The logger, the spans and the metrics of one daemon."""

import sys
from typing import Any

from marigoldpath_core.settings import DaemonSettings

from ._lines import LineWriter
from ._logs import create_logger
from ._metrics import Metrics
from ._spans import SpanWriter


class Telemetry:
    """Gives each part of the daemon its logger, spans and metrics."""

    def __init__(self, settings: DaemonSettings, descriptor: int | None = None) -> None:
        if descriptor is None:
            descriptor = sys.stderr.fileno()
        self._lines = LineWriter(descriptor)
        self._log = create_logger(settings.observability, self._lines).bind(
            host=settings.host, zone=settings.availability_zone
        )
        self._spans = SpanWriter(settings.observability, settings.host)
        self._metrics = Metrics(settings.observability, settings.host)

    @property
    def log(self) -> Any:
        """The logger, with the fields host and zone."""
        return self._log

    @property
    def spans(self) -> SpanWriter:
        """The spans."""
        return self._spans

    @property
    def metrics(self) -> Metrics:
        """The metrics."""
        return self._metrics

    def status(self) -> dict[str, int]:
        """Return what was dropped because a receiver did not take it."""
        return {
            "dropped_log_lines": self._lines.dropped,
            "dropped_spans": self._spans.dropped,
            "dropped_metrics": self._metrics.dropped,
        }
